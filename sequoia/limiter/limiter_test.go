package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engine answers with an inter-token time that grows with the requests it runs.
type engine struct {
	slowdown float64
	limiter  *Limiter
	upstream Upstream
	now      time.Time
	avoided  bool
	limits   []int
}

func newEngine() *engine {
	e := &engine{slowdown: 1, now: time.Unix(1000, 0), upstream: Upstream{Name: "runner-1", Incarnation: 1}}
	e.limiter = New(Config{Target: 29 * time.Millisecond, Objective: 0.95})
	e.limiter.Step(e.now, UpstreamAdded{Upstream: e.upstream, BatchLimit: 16})
	return e
}

// second runs as many requests as allowed for a second.
func (e *engine) second() {
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

// Guards against a healthy runner that loses slots.
func TestHealthyKeepsItsBatch(t *testing.T) {
	e := newEngine()
	for range 20 {
		e.second()
	}
	assert.Equal(t, e.limiter.Limit("runner-1"), 16)
	assert.Assert(t, !e.avoided)
}

// Guards against a runner that is a little slower and is avoided instead of limited: 14 requests take 29 ms there.
func TestFindsTheConcurrency(t *testing.T) {
	e := newEngine()
	e.slowdown = 29.0 / 26
	for range 30 {
		e.second()
	}
	for _, limit := range e.limits[10:] {
		assert.Assert(t, limit >= 11 && limit <= 15, "%v", e.limits)
	}
	assert.Assert(t, !e.avoided)
}

// Guards against a runner ten times slower that is used until it says so itself, and against one that is never tried
// again.
func TestTenTimesSlower(t *testing.T) {
	e := newEngine()
	e.slowdown = 10
	for range 5 {
		e.second()
	}
	assert.Assert(t, e.avoided)
	assert.Equal(t, e.limiter.Limit("runner-1"), 1)
	e.slowdown = 1
	for range 40 {
		e.second()
	}
	assert.Assert(t, !e.avoided)
	assert.Equal(t, e.limiter.Limit("runner-1"), 16)
}
