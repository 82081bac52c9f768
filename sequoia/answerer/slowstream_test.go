package answerer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dripStream sends pieces of a stream with a pause before each.
func dripStream(pieces []string, pause time.Duration) responder {
	return func(conn net.Conn, request *http.Request) bool {
		if !rawResponse(streamStart, true)(conn, request) {
			return false
		}
		for _, piece := range pieces {
			time.Sleep(pause)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// Guards against a stream that is slow but sound being cut before its deadline.
func TestSlowStreamIsComplete(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	var events []string
	for number := range 6 {
		events = append(events, fmt.Sprintf("id: %d\ndata: a\n\n", number))
	}
	vm.setUpstreams(startUpstream(t, dripStream(events, 200*time.Millisecond)))
	got := vm.send(t, "/stream/1", "r1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, strings.Join(events, ""))
}

// Guards against a stalled stream that sends a byte now and then and outlasts its deadline, or ends there as if it were
// complete.
func TestStalledStreamEndsAtItsDeadline(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	bytes := []string{firstEvent}
	for range 40 {
		bytes = append(bytes, ":")
	}
	vm.setUpstreams(startUpstream(t, dripStream(bytes, 100*time.Millisecond)))
	startedAt := time.Now()
	got := vm.send(t, "/stream/1", "r1")
	assert.Assert(t, got.err != nil, "the stream ended as if it were complete: %q", got.body)
	assert.Assert(t, time.Since(startedAt) < 2*time.Second, "ended after %v", time.Since(startedAt))
	assert.Assert(t, time.Since(startedAt) > time.Second, "ended after %v", time.Since(startedAt))
}
