package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulatedEngine is an upstream whose inter-token latency grows with its concurrency.
type simulatedEngine struct {
	slowdown float64
	limiter  *Limiter
	upstream Upstream
	now      time.Time
	avoided  bool
	limits   []int
}

func newSimulatedEngine() *simulatedEngine {
	e := &simulatedEngine{slowdown: 1, now: time.Unix(1000, 0), upstream: Upstream{Name: "runner-1", Incarnation: 1}}
	e.limiter = New(Config{Target: 29 * time.Millisecond, Objective: 0.95})
	e.limiter.Step(e.now, UpstreamAdded{Upstream: e.upstream, BatchLimit: 16})
	return e
}

// runSecond runs as many requests as the limit allows for one second.
func (e *simulatedEngine) runSecond() {
	for range 4 {
		e.now = e.now.Add(250 * time.Millisecond)
		running := e.limiter.Limit("runner-1")
		if !e.avoided {
			interval := time.Duration(e.slowdown * float64(12*time.Millisecond+time.Duration(running)*time.Millisecond))
			e.limiter.Step(e.now, Load{Upstream: e.upstream, Running: float64(running)})
			e.limiter.Step(e.now, Tokens{Upstream: e.upstream, Interval: interval, Count: 10 * running})
		}
		for _, effect := range e.limiter.Tick(e.now) {
			if slow, ok := effect.(Slow); ok {
				e.avoided = slow.Avoid
			}
		}
	}
	e.limits = append(e.limits, e.limiter.Limit("runner-1"))
}

// Guards against a healthy upstream losing slots.
func TestHealthyUpstreamKeepsBatchLimit(t *testing.T) {
	e := newSimulatedEngine()
	for range 20 {
		e.runSecond()
	}
	assert.Equal(t, e.limiter.Limit("runner-1"), 16)
	assert.Assert(t, !e.avoided)
}

// Guards against a slightly slower upstream being avoided instead of limited. At this slowdown, 14 concurrent requests
// have an inter-token latency of 29 ms.
func TestLimitFollowsSlowdown(t *testing.T) {
	e := newSimulatedEngine()
	e.slowdown = 29.0 / 26
	for range 30 {
		e.runSecond()
	}
	for _, limit := range e.limits[10:] {
		assert.Assert(t, limit >= 11 && limit <= 15, "%v", e.limits)
	}
	assert.Assert(t, !e.avoided)
}

// Guards against using an upstream that is ten times slower until it reports that itself, and against never probing it
// again.
func TestVerySlowUpstreamIsAvoidedAndProbed(t *testing.T) {
	e := newSimulatedEngine()
	e.slowdown = 10
	for range 5 {
		e.runSecond()
	}
	assert.Assert(t, e.avoided)
	assert.Equal(t, e.limiter.Limit("runner-1"), 1)
	e.slowdown = 1
	for range 40 {
		e.runSecond()
	}
	assert.Assert(t, !e.avoided)
	assert.Equal(t, e.limiter.Limit("runner-1"), 16)
}
