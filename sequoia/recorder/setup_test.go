package recorder

import (
	"fmt"
	"testing"
	"time"
)

// setup is a simulation with the members a, the primary, and b and the gateways g1 to g3.
type setup struct {
	sim      *simulation
	a, b     *node
	first    *gateway
	gateways []*gateway
}

func newSetup(t testing.TB, seed uint64) *setup {
	sim := newSimulation(t, seed, "a", "b")
	s := &setup{sim: sim, a: sim.nodes["a"], b: sim.nodes["b"]}
	for i := range 3 {
		s.gateways = append(s.gateways, &gateway{sim: sim, name: fmt.Sprintf("g%d", i+1)})
	}
	s.first = s.gateways[0]
	sim.runFor(time.Second)
	return s
}

// stopGracefully lets a member hand over, stops it half a second later and restarts it.
func (s *setup) stopGracefully(n *node) {
	s.sim.runOnNode(n, func() { s.sim.step(n, Shutdown{}) })
	s.after(500*time.Millisecond, func() { s.sim.crash(n) })
	s.after(5*time.Second, func() { s.sim.reboot(n) })
}

func (s *setup) after(d time.Duration, action func()) { s.sim.after(d, action) }
func (s *setup) block(from, to string)                { s.sim.setBlocked(true, from, to) }

func (s *setup) partitionZone() {
	for _, vm := range []string{"a", "b"} {
		s.block(vm, consensus)
		s.block(consensus, vm)
	}
}

// injectAt injects a fault once, when a step is reached for the count-th time. The result says whether it was injected.
func (s *setup) injectAt(step string, count int, inject func(s *setup)) *bool {
	injected := false
	s.sim.onStep = func(reached string) {
		if reached != step || injected {
			return
		}
		if count--; count == 0 {
			injected = true
			inject(s)
		}
	}
	return &injected
}

// resendUntilExecuted sends a request through g1 and resends it through the other gateways every few seconds, even
// while an earlier one is pending.
func (s *setup) resendUntilExecuted(key string) {
	for try := range 9 {
		c := s.gateways[try%3].submit(key, false)
		s.sim.runFor(time.Duration(1+try%4) * 1500 * time.Millisecond)
		if c.outcome == "ran" {
			return
		}
	}
}

func (c *clientRequest) waitOutcome(limit time.Duration) string {
	c.g.sim.runUntil(limit, func() bool { return c.outcome != "" })
	return c.outcome
}

func (s *setup) isolatePrimary() {
	for _, end := range []string{"b", consensus} {
		s.block("a", end)
		s.block(end, "a")
	}
}
