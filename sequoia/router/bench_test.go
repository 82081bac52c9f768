package router

import (
	"fmt"
	"testing"
	"time"
)

const plannedRunners = 600

// fleet returns a router with runners of one availability zone that hold parts of a long prompt.
func fleet(runners, blocks int) (*Router, Request) {
	now := time.Unix(0, 0)
	r := New(Config{Zone: "a", Region: "r"})
	prefix := make([]Digest, blocks)
	for i := range prefix {
		prefix[i] = Digest(mix(uint64(i + 1)))
	}
	for i := range runners {
		u := Upstream{Name: fmt.Sprint("runner-", i), Zone: "a", Incarnation: 1}
		r.Step(now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 16})
		r.Step(now, CacheEvent{Upstream: u, Sequence: 1, Stored: prefix[:i%blocks]})
		r.Step(now, LoadReport{Upstream: u, At: now, Running: i % 16})
	}
	r.Step(now, ZoneReport{Zone: "b", Region: "r", At: now, Models: []ZoneLoad{{Model: "m", Capacity: 96}}})
	return r, Request{ID: "q", Model: "m", PromptTokens: blocks*BlockTokens + 30, Prefix: prefix, AllowedZones: []string{"a", "b"}}
}

// BenchmarkRoute measures one decision; the target at 600 runners is 20 microseconds.
func BenchmarkRoute(b *testing.B) {
	for _, runners := range []int{18, plannedRunners} {
		for _, blocks := range []int{14, 100} {
			b.Run(fmt.Sprintf("runners-%d/blocks-%d", runners, blocks), func(b *testing.B) {
				r, q := fleet(runners, blocks)
				now := time.Unix(1, 0)
				b.ReportAllocs()
				for b.Loop() {
					r.Route(now, &q)
				}
			})
		}
	}
}

// BenchmarkRequest measures all steps of a request: two decisions, sent, first token, finished.
func BenchmarkRequest(b *testing.B) {
	r, q := fleet(plannedRunners, 14)
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Route(now, &q)
		u := r.Route(now, &q).Upstream
		r.Step(now, RequestSent{Upstream: u, RequestID: q.ID, PromptTokens: q.PromptTokens, Prefix: q.Prefix})
		r.Step(now, FirstToken{Upstream: u, RequestID: q.ID})
		r.Step(now, RequestCompleted{Upstream: u, RequestID: q.ID, OutputTokens: 100})
	}
}

// Guards against a decision whose memory grows with the number of runners.
func TestRouteAllocates(t *testing.T) {
	now := time.Unix(1, 0)
	for _, runners := range []int{18, plannedRunners} {
		r, q := fleet(runners, 14)
		r.Route(now, &q)
		if n := testing.AllocsPerRun(100, func() { r.Route(now, &q) }); n != 0 {
			t.Errorf("%d runners: %v allocations for a decision", runners, n)
		}
	}
}
