package main

import (
	"context"
	"encoding/json"
	"net/http"

	"sequoiaspread.example/sequoia/publisher"
	"sequoiaspread.example/sequoia/router"
)

// membershipEvent reports a state change of an upstream. Source is where the change was observed.
type membershipEvent struct {
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Source      string `json:"sign"`
}

// checkHealth uses a new connection, to verify that new connections work.
func (g *gateway) checkHealth(ctx context.Context, u *upstream) {
	text, status, err := g.httpGet(ctx, u.client.single, u.address, "/health", "")
	if status == http.StatusServiceUnavailable && reportsDraining(text) {
		g.markDraining(u, "health")
		return
	}
	g.setHealthy(u, err == nil && status < http.StatusInternalServerError)
}

func (g *gateway) setHealthy(u *upstream, healthy bool) {
	if !u.setHealthy(healthy) {
		return
	}
	g.scheduler.notifyRouter(router.Suspect{Upstream: identity(u), Suspected: !healthy})
	state := "healthy"
	if !healthy {
		state = "suspect"
	}
	g.publishMembership(u, state, "health")
}

// markSuspect marks an upstream as unhealthy after a sign of failure, such as a refused connection. The next health
// check decides.
func (g *gateway) markSuspect(u *upstream) {
	g.setHealthy(u, false)
}

// markDraining marks an upstream as draining after any report of that state. It is permanent for this incarnation.
func (g *gateway) markDraining(u *upstream, source string) {
	if !u.markDraining() {
		return
	}
	g.scheduler.notifyRouter(router.Draining{Upstream: identity(u)})
	g.publishMembership(u, vmStateLeaving, source)
}

func (g *gateway) publishMembership(u *upstream, state, source string) {
	_ = publisher.Publish(g.events, publisher.TopicMembership, membershipEvent{Upstream: u.name, Incarnation: u.incarnation, State: state, Source: source})
}

// reportsDraining reports whether a response says that the upstream is draining, in either of the formats that engines
// use.
func reportsDraining(text []byte) bool {
	var body struct {
		State string `json:"state"`
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &body) != nil {
		return false
	}
	return body.State == vmStateLeaving || body.Error.Code == vmStateLeaving
}
