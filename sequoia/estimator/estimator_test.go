package estimator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testEstimator(senders int) (*Estimator, Upstream, time.Time) {
	now := time.Unix(1000, 0)
	e := New(Config{Senders: senders})
	u := Upstream{Name: "runner-1", Zone: "a", Incarnation: 2}
	e.Step(now, UpstreamAdded{Upstream: u, BatchLimit: 16})
	return e, u, now
}

// Guards against counting local requests twice: as local ones and as a part of the upstream's report.
func TestReportCountsLocalRequestsOnce(t *testing.T) {
	e, u, now := testEstimator(1)
	for i := range 4 {
		e.Step(now, RequestSent{Upstream: u, RequestID: fmt.Sprint(i), PromptTokens: 100})
	}
	now = now.Add(time.Second)
	e.Step(now, LoadReport{Upstream: u, At: now, Running: 4})
	load, _ := e.Load(now, "runner-1")
	assert.Equal(t, load.Outstanding, 4.0)
	e.Step(now, RequestCompleted{Upstream: u, RequestID: "0", OutputTokens: 10})
	e.Step(now, RequestFailed{Upstream: u, RequestID: "1"})
	e.Step(now, RequestFailed{Upstream: u, RequestID: "1"})
	load, _ = e.Load(now, "runner-1")
	assert.Equal(t, load.InFlight, 2)
}

// Guards against messages about an earlier incarnation changing the current one.
func TestEarlierIncarnationIgnored(t *testing.T) {
	e, u, now := testEstimator(1)
	old := u
	old.Incarnation = 1
	e.Step(now, UpstreamAdded{Upstream: old, BatchLimit: 1})
	e.Step(now, LoadReport{Upstream: old, At: now, Running: 9})
	e.Step(now, RequestSent{Upstream: old, RequestID: "a"})
	e.Step(now, UpstreamRemoved{Upstream: old})
	load, ok := e.Load(now, "runner-1")
	assert.Assert(t, ok)
	assert.Equal(t, load.Outstanding, 0.0)
}

// Guards against trusting the report of an upstream whose first tokens take ten times longer than expected.
func TestSlownessFromFirstTokens(t *testing.T) {
	e, u, now := testEstimator(1)
	idle := e.FirstTokenAt(0, 0, 500, 0)
	for i := range 20 {
		id := fmt.Sprint(i)
		e.Step(now, RequestSent{Upstream: u, RequestID: id, PromptTokens: 500})
		now = now.Add(10 * idle)
		e.Step(now, FirstToken{Upstream: u, RequestID: id})
		e.Step(now, RequestCompleted{Upstream: u, RequestID: id, OutputTokens: 10})
		e.Step(now, LoadReport{Upstream: u, At: now})
	}
	assert.Assert(t, e.FirstTokenAt(0, 0, 500, 0) > 5*idle)
	for range 300 {
		e.Tick(now)
	}
	assert.Assert(t, e.FirstTokenAt(0, 0, 500, 0) < 2*idle)
}

// Guards against estimating that urgent prompts wait behind less urgent long ones, which engines prefill later.
func TestUrgentPrefillFirst(t *testing.T) {
	e, u, now := testEstimator(1)
	e.Step(now, RequestSent{Upstream: u, RequestID: "long", Class: Class{Rank: 1}, PromptTokens: 8000})
	assert.Equal(t, e.FirstTokenAt(0, 0, 100, 0), e.IdleFirstToken(100))
	assert.Assert(t, e.FirstTokenAt(0, 1, 100, 0) > e.IdleFirstToken(8000))
}

// Guards against using the loads of other VMs after they stopped reporting.
func TestPeerLoadsExpire(t *testing.T) {
	e, u, now := testEstimator(3)
	for _, vm := range []string{"b", "c"} {
		e.Step(now, PeerLoad{Upstream: u, VM: vm, At: now, InFlight: 4})
	}
	load, _ := e.Load(now, "runner-1")
	assert.Equal(t, load.Outstanding, 8*(1-projectedWeight))
	e.Step(now, LoadReport{Upstream: u, At: now, Running: 2})
	load, _ = e.Load(now.Add(DefaultPeerTimeout+time.Second), "runner-1")
	assert.Equal(t, load.Outstanding, 1.0)
}

// Guards against answer lengths that are not tracked by class.
func TestDecodeLengthByClass(t *testing.T) {
	e, u, now := testEstimator(1)
	long := Class{Service: "s", Rank: 1}
	for i := range 200 {
		id := fmt.Sprint(i)
		e.Step(now, RequestSent{Upstream: u, RequestID: id, Class: long})
		e.Step(now, RequestCompleted{Upstream: u, RequestID: id, OutputTokens: 600})
	}
	assert.Assert(t, e.DecodeTokens(long) > 550)
	assert.Equal(t, e.DecodeTokens(Class{Service: "s"}), DefaultDecodeTokens)
	assert.Assert(t, e.Work(long, 1000, 0) > e.Work(long, 1000, 900))
}
