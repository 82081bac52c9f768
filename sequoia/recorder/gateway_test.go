package recorder

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const gatewayTimeout = 4 * time.Second

// gateway simulates how the gateway program handles callers' requests, as far as idempotency records are concerned.
type gateway struct {
	sim     *simulation
	name    string
	hung    bool
	dead    bool
	queued  []func()
	next    int
	fixedVM string // VM that gets the requests in place of the primary
}

// primary returns the VM that the gateway takes for the primary, which is out of date at the simulation's staleRate.
func (g *gateway) primary() string {
	if g.fixedVM != "" {
		return g.fixedVM
	}
	if g.sim.staleRate > 0 && g.sim.rng.Float64() < g.sim.staleRate {
		vms := slices.Sorted(maps.Keys(g.sim.nodes))
		return vms[g.sim.rng.IntN(len(vms))]
	}
	return vmOf(g.sim.view.Primary)
}

// clientRequest is one request of a caller to one gateway. The outcome is what the caller was told, or "".
type clientRequest struct {
	g                *gateway
	begin            Begin
	refuseConnection bool // the upstream refuses the connection, so that no byte is sent
	arrived          time.Time
	replied          bool
	sends            int
	outcome          string
}

func (g *gateway) submit(key string, refuseConnection bool) *clientRequest {
	g.next++
	attempt := fmt.Sprintf("%s-%d", g.name, g.next)
	c := &clientRequest{g: g, refuseConnection: refuseConnection, arrived: g.sim.now, begin: Begin{
		Zone: testZone, Organisation: "kiosks-cairo", Key: key, Digest: "body", Service: "kiosk-core", Attempt: attempt,
	}}
	c.sendBegin()
	return c
}

// runOrQueue runs an action in the gateway's process: at once, after a hang, or never if the process is dead.
func (g *gateway) runOrQueue(action func()) {
	switch {
	case g.dead:
	case g.hung:
		g.queued = append(g.queued, action)
	default:
		action()
	}
}

func (g *gateway) resume() {
	queued := g.queued
	g.hung, g.queued = false, nil
	for _, action := range queued {
		action()
	}
}

func (c *clientRequest) sendBegin() {
	c.sends++
	send := c.sends
	c.g.sim.request(c.g.name, c.g.primary(), "begin", c.begin, func(reply Reply) {
		c.g.sim.onStep("reply")
		c.g.runOrQueue(func() { c.handleReply(send, reply) })
	})
	c.g.sim.after(gatewayTimeout, func() { c.g.runOrQueue(func() { c.handleReply(send, Reply{Outcome: OutcomeNotPrimary}) }) })
}

// lookUp asks for the outcome of a key. The caller takes OutcomeAbsent to mean that the key was not executed.
func (g *gateway) lookUp(key string) *clientRequest {
	c := &clientRequest{g: g, arrived: g.sim.now, begin: Begin{Key: key}}
	g.sim.request(g.name, g.primary(), "lookup", Lookup{Zone: testZone, Organisation: "kiosks-cairo", Key: key}, func(reply Reply) {
		outcome := map[Outcome]string{OutcomeReplay: "ran", OutcomeAbsent: "not-run", OutcomeRefused: "not-run"}[reply.Outcome]
		c.returnOutcome(cmp.Or(outcome, "unknown"))
	})
	return c
}

func (c *clientRequest) handleReply(send int, reply Reply) {
	if c.replied || send != c.sends {
		return
	}
	if reply.Outcome == OutcomeNotPrimary && c.sends == 1 {
		c.sendBegin()
		return
	}
	c.replied = true
	switch reply.Outcome {
	case OutcomeGranted:
		c.g.sim.onStep("send")
		c.g.runOrQueue(func() { c.usePermit(reply.Permit) })
	case OutcomeReplay:
		c.g.sim.acknowledged[c.begin.Key] = true
		c.returnOutcome("ran")
	case OutcomeRefused:
		c.returnOutcome("not-run")
	case OutcomeUnavailable, OutcomeNotPrimary:
		c.sendUntilReply("release", c.begin.Release(), 3, func(Reply) {})
		c.returnOutcome("unknown")
	default:
		c.returnOutcome(string(reply.Outcome))
	}
}

// usePermit sends the call, or releases the permit if the connection is refused.
func (c *clientRequest) usePermit(permit Permit) {
	if c.refuseConnection {
		c.sendUntilReply("release", permit.Release(), 3, func(Reply) {})
		c.returnOutcome("not-run")
		return
	}
	sim := c.g.sim
	sim.after(time.Millisecond, func() {
		sim.executed[permit.Key] = append(sim.executed[permit.Key], sim.now)
		sim.trace("the service executes " + permit.Key)
		sim.after(time.Millisecond, func() {
			sim.onStep("answer")
			c.g.runOrQueue(func() { c.finish(permit) })
		})
	})
}

func (c *clientRequest) finish(permit Permit) {
	done := func(reply Reply) {
		if reply.Outcome == OutcomeDone {
			c.g.sim.acknowledged[permit.Key] = true
		}
		c.g.sim.onStep("done")
		c.g.runOrQueue(func() { c.returnOutcome("ran") })
	}
	c.sendUntilReply("finish", permit.Finish(ResultAnswered, Response{Status: 201, Body: []byte("booked")}), 6, done)
}

// sendUntilReply sends a request until the primary replies to it, at most maxSends times.
func (c *clientRequest) sendUntilReply(step string, request Request, maxSends int, done func(Reply)) {
	replied := false
	c.g.sim.request(c.g.name, c.g.primary(), step, request, func(reply Reply) {
		c.g.runOrQueue(func() {
			if replied || reply.Outcome == OutcomeNotPrimary || reply.Outcome == OutcomeUnavailable {
				return
			}
			replied = true
			done(reply)
		})
	})
	c.g.sim.after(gatewayTimeout, func() {
		c.g.runOrQueue(func() {
			if !replied && maxSends > 1 {
				replied = true
				c.sendUntilReply(step, request, maxSends-1, done)
			}
		})
	})
}

func (c *clientRequest) returnOutcome(outcome string) {
	if c.outcome != "" {
		return
	}
	c.outcome = outcome
	sim := c.g.sim
	sim.trace(fmt.Sprintf("%s returns %s", c.g.name, outcome))
	runs := sim.executed[c.begin.Key]
	if outcome == "not-run" && len(runs) > 0 && runs[0].Before(c.arrived) {
		sim.addViolation("%s returned not-run for %s, which was executed before the request", c.g.name, c.begin.Key)
	}
	if outcome == "ran" && len(runs) == 0 {
		sim.addViolation("%s returned ran for %s, which was not executed", c.g.name, c.begin.Key)
	}
}
