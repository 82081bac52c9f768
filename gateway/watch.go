package main

import (
	"hash/fnv"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// wireObserved is what the gateway that watches an upstream tells the others of its availability zone.
type wireObserved struct {
	wireUpstream
	Healthy bool          `json:"healthy"`
	Age     time.Duration `json:"age-nanoseconds"`
	// LoadAge is negative when no load report was read.
	LoadAge time.Duration `json:"load-age-nanoseconds"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
}

// watches reports whether this gateway checks an upstream: it has the highest hash among the live gateways of the
// availability zone, or the one that has it has told nothing for long.
func (g *gateway) watches(others []string, u *upstream) bool {
	if g.now().Sub(u.lastObserved()) > watchTimeout {
		return true
	}
	own := watchWeight(g.settings.VM, u.name)
	for _, other := range others {
		if watchWeight(other, u.name) > own {
			return false
		}
	}
	return true
}

func watchWeight(vm, upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm + "/" + upstream))
	return hash.Sum64()
}

// watchedUpstreams returns what this gateway has read of the upstreams that it watches.
func (g *gateway) watchedUpstreams(now time.Time) []wireObserved {
	watchers := g.members.live(now, g.settings.Zone)
	var list []wireObserved
	for _, known := range g.upstreams.all() {
		if g.watches(watchers, known) {
			list = append(list, known.observation(now))
		}
	}
	return list
}

func (g *gateway) takeObserved(list []wireObserved) {
	now := g.now()
	for _, each := range list {
		known, ok := g.upstreams.find(each.Name, each.Incarnation)
		if !ok || !known.noteObserved(now.Add(-each.Age)) {
			continue
		}
		g.setHealthy(known, each.Healthy)
		if each.LoadAge >= 0 {
			g.scheduler.tell(router.LoadReport{Upstream: identity(known), At: now.Add(-each.LoadAge), Running: each.Running, Waiting: each.Waiting})
		}
	}
}

// noteObserved keeps the time of a health check and reports whether it is later than the last one.
func (u *upstream) noteObserved(at time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !at.After(u.observed) {
		return false
	}
	u.observed = at
	return true
}

func (u *upstream) lastObserved() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.observed
}

func (u *upstream) noteLoad(at time.Time, running, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loaded = at
	u.running = running
	u.waiting = waiting
}

func (u *upstream) observation(now time.Time) wireObserved {
	u.mu.Lock()
	defer u.mu.Unlock()
	seen := wireObserved{
		wireUpstream: wireUpstream{Name: u.name, Incarnation: u.incarnation}, Healthy: !u.unhealthy,
		Age: now.Sub(u.observed), LoadAge: -1, Running: u.running, Waiting: u.waiting,
	}
	if !u.loaded.IsZero() {
		seen.LoadAge = now.Sub(u.loaded)
	}
	return seen
}
