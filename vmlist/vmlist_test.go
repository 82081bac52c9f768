package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a list without propagation time, which would hide requests that are sent to a draining upstream.
func TestPropagationTime(t *testing.T) {
	platform := New(Config{VMs: []VM{{Name: "a", State: "live", Incarnation: 1}}})
	start := time.Now()
	platform.put(start, VM{Name: "a", State: "leaving", Incarnation: 1})
	assert.Equal(t, platform.vmsAt(start.Add(-time.Millisecond))[0].State, "live")
	assert.Equal(t, platform.vmsAt(start)[0].State, "leaving")
}

// Guards against weights without a rate limit, which would hide model loads that are not spread over time.
func TestWeightRate(t *testing.T) {
	handler := New(Config{WeightReadsPerSecond: 0.001}).Handler()
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/weights/m", nil))
		assert.Equal(t, response.Code, want)
	}
}
