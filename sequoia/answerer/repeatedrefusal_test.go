package answerer

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	refusalWithID    = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	// refusalRest is longer than an upstream gets no requests after a refusal.
	refusalRest = 400 * time.Millisecond
)

// Guards against an earlier refusal that an upstream writes once more on a kept connection and that names no request:
// the caller was told that a request had not run which the upstream was running.
func TestRepeatedRefusalIsNotTakenForTheAnswer(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	var runs atomic.Int64
	vm.setUpstreams(startUpstream(t, func(conn net.Conn, request *http.Request) bool {
		runs.Add(1)
		if runs.Load()%2 == 1 {
			return rawResponse(completeResponse, true)(conn, request)
		}
		// The request runs, after a refusal of an earlier one.
		return rawResponse(refusalWithoutID+completeResponse, true)(conn, request)
	}))
	for number := range 6 {
		result := vm.send(t, "/unsafe/1", "r"+strconv.Itoa(number))
		assert.Assert(t, result.status != http.StatusServiceUnavailable, "told that it has not run")
	}
	assert.Equal(t, runs.Load(), int64(6), "each request runs once")
}

// Guards against the refusal of a request that an upstream writes once more when this VM sends it the same request again:
// it names the request, but belongs to the first send.
func TestRequestIsSentAgainOnAnotherConnection(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	upstream := startUpstream(t, rawResponse(refusalWithID, true))
	vm.setUpstreams(upstream)
	assert.Equal(t, vm.send(t, "/unsafe/1", "r1").status, http.StatusServiceUnavailable)
	time.Sleep(refusalRest)
	assert.Equal(t, vm.send(t, "/unsafe/1", "r1").status, http.StatusServiceUnavailable)
	assert.Equal(t, upstream.connections.Load(), int64(2), "the second send has a connection of its own")
	time.Sleep(refusalRest)
	assert.Equal(t, vm.send(t, "/unsafe/1", "r2").status, http.StatusServiceUnavailable)
	assert.Equal(t, upstream.connections.Load(), int64(2), "another request uses a kept one")
}
