package recorder

import (
	"fmt"
	"time"
)

func (sim *simulation) deliver(to *node, m Message) {
	switch m.(type) {
	case Replicate:
		sim.onStep("copy")
	case Ack:
		sim.onStep("ack")
	case Join:
		sim.onStep("join")
	}
	if to.up {
		sim.runOnNode(to, func() { sim.step(to, m) })
	}
}

func (sim *simulation) isBlocked(from, to string) bool { return sim.blockedLinks[from+">"+to] }

func (sim *simulation) setBlocked(block bool, from, to string) { sim.blockedLinks[from+">"+to] = block }

func (sim *simulation) delay() time.Duration {
	return sim.baseDelay + time.Millisecond/2 + time.Duration(sim.rng.Int64N(int64(sim.jitter)))
}

// send delivers a message to a node; the network may lose, delay, reorder or duplicate it.
func (sim *simulation) send(from, to string, run func(n *node)) {
	sim.transmit(from, to, func() { sim.runOnNode(sim.nodes[to], func() { run(sim.nodes[to]) }) })
}

func (sim *simulation) transmit(from, to string, run func()) {
	if sim.isBlocked(from, to) || sim.rng.Float64() < sim.dropRate {
		return
	}
	sim.after(sim.delay(), run)
	if sim.rng.Float64() < sim.duplicateRate {
		sim.after(sim.delay()+20*sim.jitter, run)
	}
}

// request delivers a gateway's request to a VM and the reply back to the gateway.
func (sim *simulation) request(gateway, vm, step string, message Request, onReply func(Reply)) {
	sim.transmit(gateway, vm, func() {
		sim.onStep(step)
		sim.runOnNode(sim.nodes[vm], func() {
			sim.token++
			token := sim.token
			sim.tokens[token] = func(reply Reply) {
				sim.trace(fmt.Sprintf("%s replies %s", vm, reply.Outcome))
				sim.transmit(vm, gateway, func() { onReply(reply) })
			}
			sim.step(sim.nodes[vm], Call{Token: token, Request: message})
		})
	})
}

func describe(m PeerMessage) string {
	switch m := m.(type) {
	case Replicate:
		return fmt.Sprintf("replicate to %s view %d (%d, %d] entries %d complete %v", m.To, m.View.Number, m.After, m.Through, len(m.Entries), m.Complete)
	case Ack:
		return fmt.Sprintf("ack to %s view %d applied %d gap %v", m.To, m.View, m.Applied, m.Gap)
	case Join:
		return "join to " + m.To
	case Depart:
		return "depart to " + m.To
	}
	return ""
}
