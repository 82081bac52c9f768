package answerer

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that return before a restarted VM has its document, and are refused again: when all VMs had
// restarted, their first documents came 1.3 to 1.5 s later, and callers were told to return after 0.5 s.
func TestCallerReturnsWhenTheDocumentIsThere(t *testing.T) {
	vm := newTestVM(t, "north")
	for id := range 20 {
		arrivedAt := time.Now()
		result := vm.send(t, "/safe/1", "r"+strconv.Itoa(id))
		assert.Equal(t, result.status, http.StatusServiceUnavailable)
		after, err := time.ParseDuration(result.header.Get("Come-Back"))
		assert.NilError(t, err)
		returnsAt := arrivedAt.Add(after).Sub(vm.answerer.startedAt)
		assert.Assert(t, returnsAt >= documentWait-50*time.Millisecond, "returns %v after the start", returnsAt)
		assert.Assert(t, returnsAt <= documentWait+2*returnSpread, "returns %v after the start", returnsAt)
	}
	later := vm.answerer.startedAt.Add(time.Minute)
	assert.Assert(t, vm.answerer.documentExpectedIn(later) <= shortRetryAfter+returnSpread)
}
