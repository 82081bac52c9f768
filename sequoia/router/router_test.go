package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/parser"
)

func testRouter(senders int, names ...string) (*Router, []Upstream, time.Time) {
	now := time.Unix(1000, 0)
	target := parser.Duration{Duration: 320 * time.Millisecond}
	r := New(Config{
		Zone:      "a",
		Region:    "r",
		Ranks:     []parser.Rank{{FirstTokenTarget: target}},
		Network:   parser.Network{RegionDelay: parser.Duration{Duration: 55 * time.Millisecond}, RegionLinkMbit: 2000},
		Estimator: estimator.Config{Senders: senders},
	})
	var all []Upstream
	for _, name := range names {
		u := Upstream{Name: name, Zone: "a", Incarnation: 1}
		r.Step(now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 16})
		all = append(all, u)
	}
	return r, all, now
}

// A cache must not be treated as empty after a lost event: known blocks still count, and so does the mean hit share.
func TestCacheEventGapKeepsKnownBlocks(t *testing.T) {
	r, u, now := testRouter(1, "runner-1", "runner-2")
	req := &Request{ID: "q", Model: "m", PromptTokens: 256, Prefix: []Digest{1, 2, 3, 4}, AllowedZones: []string{"a"}}
	r.Step(now, CacheEvent{Upstream: u[0], Sequence: 1, Stored: req.Prefix})
	r.Step(now, CacheEvent{Upstream: u[0], Sequence: 3, Stored: []Digest{9}})
	c := r.Route(now, req)
	assert.Equal(t, c.Upstream, u[0])
	assert.Assert(t, c.Explanation.HitTokens >= 128)
	r.meanHitShare = 0.5
	r.Step(now, CacheEvent{Upstream: u[1], Sequence: 1})
	r.Step(now, CacheEvent{Upstream: u[1], Sequence: 3})
	r.Step(now, Suspect{Upstream: u[0], Suspected: true})
	assert.Assert(t, r.Route(now, req).Explanation.HitTokens > 0)
	r.Step(now, CacheEvent{Upstream: u[1], Sequence: 4, Cleared: true})
	assert.Equal(t, r.Route(now, req).Explanation.HitTokens, 0)
}

// Guards against several VMs sending all requests to the upstream that looked idle in a stale report.
func TestNoHerdingOnStaleReport(t *testing.T) {
	const vms, requests = 4, 12
	names := []string{"runner-1", "runner-2", "runner-3", "runner-4"}
	sent := map[string]int{}
	for vm := range vms {
		r, all, now := testRouter(vms, names...)
		for i, u := range all {
			r.Step(now, LoadReport{Upstream: u, At: now, Running: min(i, 1) * 6})
		}
		for i := range requests {
			id := fmt.Sprint(vm, "-", i)
			u := r.Route(now, &Request{ID: id, Model: "m", AllowedZones: []string{"a"}}).Upstream
			r.Step(now, RequestSent{Upstream: u, RequestID: id})
			sent[u.Name]++
		}
	}
	total := 3*6 + vms*requests
	assert.Assert(t, sent["runner-1"] <= total/len(names)+vms, "%v", sent)
}

// Guards against forwarding for a small gain, and against flapping around the margin.
func TestForwardingHysteresis(t *testing.T) {
	r, _, now := testRouter(1, "runner-1")
	r.Step(now, ZoneReport{Zone: "b", Region: "r2", At: now, Models: []ZoneLoad{{Model: "m", Capacity: 100}}})
	kind := func(wait time.Duration) Kind {
		return r.Route(now, &Request{ID: "q", Model: "m", AllowedZones: []string{"a", "b"}, LocalWait: wait}).Kind
	}
	remote := 2 * 55 * time.Millisecond
	assert.Equal(t, kind(remote), KindUpstream)
	assert.Equal(t, kind(remote+2*ForwardStartMargin), KindForward)
	assert.Equal(t, kind(remote+ForwardStartMargin), KindForward)
	assert.Equal(t, kind(remote-ForwardKeepMargin), KindUpstream)
	assert.Equal(t, kind(remote+ForwardStartMargin), KindUpstream)
}

// Guards against prefix affinity loading an upstream beyond LoadBound.
func TestAffinityIsBounded(t *testing.T) {
	r, _, now := testRouter(1, "runner-1", "runner-2", "runner-3")
	most, total := 0, 0
	sent := map[string]int{}
	for i := range 30 {
		req := &Request{ID: fmt.Sprint(i), Model: "m", PromptTokens: 640, Prefix: []Digest{7, Digest(100 + i)}, AllowedZones: []string{"a"}}
		u := r.Route(now, req).Upstream
		r.Step(now, RequestSent{Upstream: u, RequestID: req.ID, PromptTokens: 640})
		sent[u.Name]++
		total++
		most = max(most, sent[u.Name])
	}
	assert.Assert(t, float64(most) <= LoadBound*float64(total)/3+2, "%v", sent)
}
