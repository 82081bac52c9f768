package router

import (
	"fmt"
	"testing"
	"time"
)

// maxBenchRunners is the number of runners that the router is planned for.
const maxBenchRunners = 600

// benchRouter returns a router for runners in one availability zone that have parts of a long prompt cached.
func benchRouter(runners, blocks int) (*Router, Request) {
	now := time.Unix(0, 0)
	r := New(Config{Zone: "a", Region: "r"})
	prefix := make([]Digest, blocks)
	for i := range prefix {
		prefix[i] = Digest(mixBits(uint64(i + 1)))
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

// BenchmarkRoute measures one decision. The target is 20 microseconds with 600 runners.
func BenchmarkRoute(b *testing.B) {
	for _, runners := range []int{18, maxBenchRunners} {
		for _, blocks := range []int{14, 100} {
			b.Run(fmt.Sprintf("runners-%d/blocks-%d", runners, blocks), func(b *testing.B) {
				r, req := benchRouter(runners, blocks)
				now := time.Unix(1, 0)
				b.ReportAllocs()
				for b.Loop() {
					r.Route(now, &req)
				}
			})
		}
	}
}

// BenchmarkRequest measures the lifecycle of a request: two decisions, sent, first token, completed.
func BenchmarkRequest(b *testing.B) {
	r, req := benchRouter(maxBenchRunners, 14)
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Route(now, &req)
		u := r.Route(now, &req).Upstream
		r.Step(now, RequestSent{Upstream: u, RequestID: req.ID, PromptTokens: req.PromptTokens, Prefix: req.Prefix})
		r.Step(now, FirstToken{Upstream: u, RequestID: req.ID})
		r.Step(now, RequestCompleted{Upstream: u, RequestID: req.ID, OutputTokens: 100})
	}
}

// A decision must not allocate, whatever the number of runners.
func TestRouteDoesNotAllocate(t *testing.T) {
	now := time.Unix(1, 0)
	for _, runners := range []int{18, maxBenchRunners} {
		r, req := benchRouter(runners, 14)
		r.Route(now, &req)
		if n := testing.AllocsPerRun(100, func() { r.Route(now, &req) }); n != 0 {
			t.Errorf("%d runners: %v allocations for a decision", runners, n)
		}
	}
}
