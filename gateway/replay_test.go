package main

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/recorder"
)

func TestMatrixReplay(t *testing.T) {
	// A response that was too large to record must not be replayed as a complete, empty one.
	t.Run("whole-answer/replay/answer-omitted", func(t *testing.T) {
		f := newFleet(t, "", "a-1")
		f.addPlainService("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) })
		f.start()
		bookings := f.firstGateway().url("/services/core/bookings")
		assert.Equal(t, readAll(t, f.send("POST", bookings, "b", headerIdempotencyKey, "k1")), "whole")
		f.records.mu.Lock()
		f.records.records["k1"].reply.Answer = recorder.Response{Status: http.StatusOK, Omitted: true}
		f.records.mu.Unlock()
		p := decodeProblem(t, f.send("POST", bookings, "b", headerIdempotencyKey, "k1"))
		assert.Equal(t, p.Type, problemPrefix+"answer-too-large")
		assert.Equal(t, string(p.Outcome), "ran")
		var outcome outcomeBody
		assert.NilError(t, json.Unmarshal([]byte(readAll(t, f.send("GET", f.firstGateway().url("/v1/outcomes/k1"), ""))), &outcome))
		assert.Assert(t, outcome.BodyOmitted)

	})
	// A key that merely resembles a session key belongs to the home zone of its organisation, whichever zones the
	// document lists.
	t.Run("at-most-once/home-zone/none", func(t *testing.T) {
		f := newFleet(t, "", "a-1")
		f.addPlainService("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) })
		f.start()
		bookings := f.firstGateway().url("/services/core/bookings")
		assert.Equal(t, readAll(t, f.send("POST", bookings, "b", headerIdempotencyKey, "b.not-a-session")), "whole")
		// A session key of an availability zone that is not in the document may have run there.
		assert.Equal(t, string(decodeProblem(t, f.send("POST", bookings, "b", headerIdempotencyKey, "b.1.s.1")).Outcome), "unknown")
		assert.DeepEqual(t, f.records.zones, []string{"a"})
	})
}
