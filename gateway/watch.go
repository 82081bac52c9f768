package main

import (
	"hash/fnv"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// wireObserved is the state of an upstream that its watcher reports to the other gateways of the availability zone.
type wireObserved struct {
	wireUpstream
	Healthy bool          `json:"healthy"`
	Age     time.Duration `json:"age-nanoseconds"`
	// LoadAge is negative if no load report was read.
	LoadAge time.Duration `json:"load-age-nanoseconds"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
}

// isWatcher reports whether this gateway must check the health and load of an upstream. The watcher of an upstream is
// the live gateway with the highest rendezvous hash; this gateway steps in if the last observation is too old.
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

// watchedObservations returns the observations of the upstreams that this gateway watches.
func (g *gateway) watchedObservations(now time.Time) []wireObserved {
	peers := g.members.livePeers(now, g.settings.Zone)
	var list []wireObserved
	for _, u := range g.upstreams.all() {
		if g.isWatcher(peers, u) {
			list = append(list, u.observation(now))
		}
	}
	return list
}

func (g *gateway) applyObservations(list []wireObserved) {
	now := g.now()
	for _, item := range list {
		u, ok := g.upstreams.find(item.Name, item.Incarnation)
		if !ok || !u.recordObservation(now.Add(-item.Age)) {
			continue
		}
		g.setHealthy(u, item.Healthy)
		if item.LoadAge >= 0 {
			g.scheduler.notifyRouter(router.LoadReport{Upstream: identity(u), At: now.Add(-item.LoadAge), Running: item.Running, Waiting: item.Waiting})
		}
	}
}

// recordObservation stores the time of a health check and reports whether it is later than the last one.
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
