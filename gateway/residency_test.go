package main

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const zoneBOnlyRule = `
[[residency-rules]]
name = "stay"
services = ["assist", "core"]
zones = ["b"]
`

// testResidency guards against bytes of a request that reach an availability zone which its residency rules do not
// allow.
func testResidency(t *testing.T) {
	t.Run("arrival/other-zone", func(t *testing.T) {
		f := newFleet(t, zoneBOnlyRule, "a-1", "b-1")
		engineA, engineB := f.addEngine("a", "engine-a", nil), f.addEngine("b", "engine-b", nil)
		plainA := f.addPlainService("a", abortConnection)
		f.start()
		assert.Equal(t, decodeProblem(t, f.chat(f.firstGateway())).Type, problemPrefix+"misdirected")
		assert.Equal(t, decodeProblem(t, f.book(f.firstGateway(), "k")).Type, problemPrefix+"misdirected")
		assert.Equal(t, f.chat(f.gateways["b-1"]).StatusCode, http.StatusOK)
		assert.Assert(t, !strings.Contains(readAll(t, f.send("GET", f.firstGateway().url("/v1/directory?service=core"), "")), `"a-1"`))
		assert.Equal(t, engineA.count()+plainA.count(), 0)
		assert.Equal(t, engineB.count(), 1)
	})
	t.Run("record/home-not-allowed", func(t *testing.T) {
		f := newFleet(t, zoneBOnlyRule, "a-1", "b-1")
		plainB := f.addPlainService("b", abortConnection)
		f.start()
		assert.Equal(t, decodeProblem(t, f.book(f.gateways["b-1"], "k")).Type, problemPrefix+"residency")
		assert.Equal(t, len(f.records.zones)+plainB.count(), 0)
	})
	t.Run("arrival/narrowed", func(t *testing.T) {
		f := newFleet(t, "", "a-1", "b-1")
		engineA := f.addEngine("a", "engine-a", nil)
		f.start()
		assert.Equal(t, decodeProblem(t, f.chat(f.firstGateway(), headerResidency, "b")).Type, problemPrefix+"misdirected")
		assert.Equal(t, decodeProblem(t, f.chat(f.firstGateway(), headerResidency, "nowhere")).Type, problemPrefix+"residency")
		assert.Equal(t, decodeProblem(t, f.chat(f.gateways["b-1"], headerResidency, "b")).Type, problemPrefix+"no-upstream")
		assert.Equal(t, engineA.count(), 0)
	})
	t.Run("mid-stream/new-rule", func(t *testing.T) {
		f := newFleet(t, "", "a-1", "b-1")
		cancelled := f.addStallingEngine("a", "engine-a")
		f.start()
		response := f.chat(f.firstGateway())
		f.applyDocument(func(text string) string { return text + zoneBOnlyRule })
		<-cancelled
		list, end := readTokens(t, response.Body)
		assert.DeepEqual(t, list, wantTokens(2))
		assert.Assert(t, strings.Contains(end, "residency-withdrawn"), end)
	})
}
