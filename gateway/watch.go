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
func (g *gateway) isWatcher(peers []string, u *upstream) bool {
	if g.now().Sub(u.lastObserved()) > watchTimeout {
		return true
	}
	localWeight := rendezvousWeight(g.settings.VM, u.name)
	for _, peer := range peers {
		if rendezvousWeight(peer, u.name) > localWeight {
			return false
		}
	}
	return true
}

func rendezvousWeight(vm, upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm + "/" + upstream))
	return hash.Sum64()
}

// watchedUpstreams returns what this gateway has read of the upstreams that it watches.
func (g *gateway) watchedObservations(now time.Time) []wireObserved {
	watchers := g.members.livePeers(now, g.settings.Zone)
	var list []wireObserved
	for _, u := range g.upstreams.all() {
		if g.isWatcher(watchers, u) {
			list = append(list, u.observation(now))
		}
	}
	return list
}

func (g *gateway) applyObservations(list []wireObserved) {
	now := g.now()
	for _, item := range list {
		known, ok := g.upstreams.find(item.Name, item.Incarnation)
		if !ok || !known.recordObservation(now.Add(-item.Age)) {
			continue
		}
		g.setHealthy(known, item.Healthy)
		if item.LoadAge >= 0 {
			g.scheduler.notifyRouter(router.LoadReport{Upstream: identity(known), At: now.Add(-item.LoadAge), Running: item.Running, Waiting: item.Waiting})
		}
	}
}

// noteObserved keeps the time of a health check and reports whether it is later than the last one.
func (u *upstream) recordObservation(at time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !at.After(u.observedAt) {
		return false
	}
	u.observedAt = at
	return true
}

func (u *upstream) lastObserved() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.observedAt
}

func (u *upstream) recordLoad(at time.Time, running, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loadReadAt = at
	u.running = running
	u.waiting = waiting
}

func (u *upstream) observation(now time.Time) wireObserved {
	u.mu.Lock()
	defer u.mu.Unlock()
	observed := wireObserved{
		wireUpstream: wireUpstream{Name: u.name, Incarnation: u.incarnation}, Healthy: !u.unhealthy,
		Age: now.Sub(u.observedAt), LoadAge: -1, Running: u.running, Waiting: u.waiting,
	}
	if !u.loadReadAt.IsZero() {
		observed.LoadAge = now.Sub(u.loadReadAt)
	}
	return observed
}
