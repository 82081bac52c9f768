package answerer

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

const failureResponse = "HTTP/1.1 500 Failed\r\nId: ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nwhy"

// Guards against a retry at the upstream that has just failed, while another one is idle.
func TestRetryGoesToAnotherUpstream(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	failing := startUpstream(t, rawResponse(failureResponse, true))
	vm.setUpstreams(failing, startUpstream(t, rawResponse(completeResponse, true)))
	for id := range 3 {
		assert.Equal(t, vm.send(t, "/safe/1", "r"+strconv.Itoa(id)).status, http.StatusOK)
	}
	assert.Assert(t, failing.requests.Load() > 0)
}

// Guards against a request that is given up because its only upstream has failed once.
func TestRetryGoesToTheOnlyUpstream(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	failing := startUpstream(t, rawResponse(failureResponse, true))
	vm.setUpstreams(failing)
	assert.Equal(t, vm.send(t, "/safe/1", "r").status, http.StatusInternalServerError)
	assert.Equal(t, failing.requests.Load(), int64(2))
}
