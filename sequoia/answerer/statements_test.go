package answerer

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	refusalWithWait = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nRefused: 1\r\nWait: 20s\r\nContent-Length: 0\r\n\r\n"
	leavingResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nwhole"
)

// Guards against a caller that is kept waiting, or told to return too early, while every upstream asked for a wait.
func TestCallerIsToldTheWaitOfTheUpstreams(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	upstream := startUpstream(t, rawResponse(refusalWithWait, true))
	vm.setUpstreams(upstream)
	for id := range 3 {
		startedAt := time.Now()
		result := vm.send(t, "/safe/1", strings.Repeat("r", id+1))
		assert.Equal(t, result.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(startedAt) < time.Second, "refused after %v", time.Since(startedAt))
		after, err := time.ParseDuration(result.header.Get("Come-Back"))
		assert.NilError(t, err)
		assert.Assert(t, after > 15*time.Second, "told to return after %v", after)
	}
	assert.Equal(t, upstream.requests.Load(), int64(1))
}

// Guards against a request that is refused although another upstream takes it.
func TestRequestGoesOnAfterARefusalWithAWait(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	refusing := startUpstream(t, rawResponse(refusalWithWait, true))
	vm.setUpstreams(refusing, startUpstream(t, rawResponse(completeResponse, true)))
	for id := range 20 {
		result := vm.send(t, "/unsafe/1", strings.Repeat("r", id+1))
		assert.Equal(t, result.status, http.StatusOK)
	}
	assert.Assert(t, refusing.requests.Load() <= 1, "%d requests", refusing.requests.Load())
}

// Guards against further requests to an upstream that stated in a complete answer that it is leaving.
func TestLeavingIsReadFromAnswers(t *testing.T) {
	vm := newTestVM(t, "north")
	vm.setDocument(nil)
	leaving := startUpstream(t, rawResponse(leavingResponse, true))
	vm.setUpstreams(leaving)
	assert.Equal(t, vm.send(t, "/safe/1", "r1").status, http.StatusOK)
	assert.Equal(t, vm.send(t, "/safe/1", "r2").status, http.StatusServiceUnavailable)
	assert.Equal(t, leaving.requests.Load(), int64(1))
	assert.Equal(t, len(vm.answerer.LocalReports().Leaving), 1)
}
