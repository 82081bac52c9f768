package recorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fault is a fault that is injected into a setup.
type fault struct {
	name   string
	inject func(s *setup)
}

var faults = []fault{
	{"none", func(*setup) {}},
	{"kill-gateway", func(s *setup) { s.first.dead = true }},
	{"hang-and-resume-gateway", func(s *setup) { s.first.hung = true; s.sim.after(9*time.Second, s.first.resume) }},
	{"kill-primary", func(s *setup) { s.sim.crash(s.a) }},
	{"restart-primary", func(s *setup) { s.sim.crash(s.a); s.after(time.Second, func() { s.sim.reboot(s.a) }) }},
	{"hang-and-resume-primary", func(s *setup) { s.a.hung = true; s.after(9*time.Second, func() { s.sim.resume(s.a) }) }},
	{"short-hang-primary", func(s *setup) { s.a.hung = true; s.after(time.Second, func() { s.sim.resume(s.a) }) }},
	{"kill-member", func(s *setup) { s.sim.crash(s.b) }},
	{"hang-and-resume-member", func(s *setup) { s.b.hung = true; s.after(9*time.Second, func() { s.sim.resume(s.b) }) }},
	{"primary-disk-lost", func(s *setup) { s.sim.loseDisk(s.a); s.after(time.Second, func() { s.sim.reboot(s.a) }) }},
	{"member-disk-lost", func(s *setup) { s.sim.loseDisk(s.b); s.after(time.Second, func() { s.sim.reboot(s.b) }) }},
	{"all-disks-lost", allDisksLost},
	{"disk-full", func(s *setup) { s.a.failNextWrite = true; s.after(5*time.Second, func() { s.sim.reboot(s.a) }) }},
	{"failed-fsync", func(s *setup) {
		s.a.failNextWrite, s.a.keepFailedWrite = true, true
		s.after(time.Second, func() { s.sim.reboot(s.a) })
	}},
	{"torn-record", func(s *setup) { s.a.failNextWrite = true; s.after(time.Second, func() { s.sim.reboot(s.a) }) }},
	{"member-disk-full", func(s *setup) { s.b.failNextWrite = true; s.after(5*time.Second, func() { s.sim.reboot(s.b) }) }},
	{"cut-between-members", func(s *setup) { s.block("a", "b"); s.block("b", "a") }},
	{"one-way-cut-to-member", func(s *setup) { s.block("a", "b") }},
	{"one-way-cut-to-primary", func(s *setup) { s.block("b", "a") }},
	{"primary-cut-from-agreement-and-member", func(s *setup) { s.block("a", "b"); s.block("b", "a"); s.block("a", consensus); s.block(consensus, "a") }},
	{"zone-cut-from-agreement", func(s *setup) { s.partitionZone() }},
	{"gateway-cut", func(s *setup) { s.block("g1", "a"); s.block("a", "g1") }},
	{"one-way-cut-to-gateway", func(s *setup) { s.block("a", "g1"); s.block("b", "g1") }},
	{"slow-link", func(s *setup) { s.sim.baseDelay = 250 * time.Millisecond }},
	{"silent-connection", silentConnection},
	{"duplicate", func(s *setup) { s.sim.duplicateRate = 1 }},
	{"reorder", func(s *setup) { s.sim.jitter = 300 * time.Millisecond }},
	{"late-message", func(s *setup) {
		s.sim.jitter = 9 * time.Second
		s.after(time.Second, func() { s.sim.jitter = 2 * time.Millisecond })
	}},
	{"clock-step-ahead", func(s *setup) { s.a.clockSkew = 30 * 24 * time.Hour }},
	{"clock-step-back", func(s *setup) { s.a.clockSkew = -30 * 24 * time.Hour }},
	{"planned-stop-primary", func(s *setup) { s.stopGracefully(s.a) }},
	{"planned-stop-member", func(s *setup) { s.stopGracefully(s.b) }},
	{"two-at-once", func(s *setup) { s.first.dead = true; s.sim.crash(s.a) }},
	{"primary-then-member", func(s *setup) { s.sim.crash(s.a); s.after(time.Second, func() { s.sim.crash(s.b); s.sim.reboot(s.a) }) }},
	{"kill-again-during-recovery", killDuringRecovery},
	{"second-vm-fails-after-repair", secondVMFails},
}

func allDisksLost(s *setup) {
	s.sim.loseDisk(s.a)
	s.sim.loseDisk(s.b)
	s.after(time.Second, func() { s.sim.reboot(s.a); s.sim.reboot(s.b) })
}

// silentConnection drops all messages between the members until the keepalive (3 s) has replaced the connection.
func silentConnection(s *setup) {
	s.block("a", "b")
	s.block("b", "a")
	s.after(3*time.Second, func() { s.sim.setBlocked(false, "a", "b"); s.sim.setBlocked(false, "b", "a") })
}

// killDuringRecovery crashes member a, and crashes it again shortly after its restart.
func killDuringRecovery(s *setup) {
	s.sim.crash(s.a)
	s.after(500*time.Millisecond, func() { s.sim.reboot(s.a) })
	s.after(1200*time.Millisecond, func() { s.sim.crash(s.a) })
	s.after(6*time.Second, func() { s.sim.reboot(s.a) })
}

// secondVMFails loses the disk of b, and crashes a when the view with the repaired b is agreed.
func secondVMFails(s *setup) {
	s.sim.loseDisk(s.b)
	s.after(time.Second, func() { s.sim.reboot(s.b) })
	s.sim.onViewAgreed = func(v View) {
		if v.Has("b#2") && s.a.up {
			s.sim.crash(s.a)
		}
	}
}

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

// scenario is a use of the records, in which the fault is injected when the scenario's step is reached.
type scenario struct {
	name string // property/step
	run  func(s *setup, fault func(s *setup)) (keys []string, injected *bool)
}

var scenarios = append([]scenario{
	{"at-most-once/resend", runResend},
	{"at-most-once/session", runSession},
	{"at-most-once/repair", runRepair},
	{"not-run/release", runRelease},
	{"cut-off/booking", runPartitionedZone},
}, requestScenarios("begin", "copy", "ack", "reply", "send", "answer", "finish", "done")...)

// requestScenarios returns scenarios of one request with a fault before the named message is handled.
func requestScenarios(steps ...string) []scenario {
	var all []scenario
	for _, step := range steps {
		all = append(all, scenario{"at-most-once/" + step, func(s *setup, fault func(s *setup)) ([]string, *bool) {
			injected := s.injectAt(step, 1, fault)
			s.resendUntilExecuted("key")
			return []string{"key"}, injected
		}})
	}
	return all
}

func runResend(s *setup, fault func(s *setup)) ([]string, *bool) {
	injected := s.injectAt("begin", 2, fault)
	s.first.submit("key", false)
	s.resendUntilExecuted("key")
	return []string{"key"}, injected
}

func runSession(s *setup, fault func(s *setup)) ([]string, *bool) {
	injected := s.injectAt("session", 1, fault)
	prefix := ""
	for try := 0; prefix == ""; try++ {
		session := Session{Zone: testZone, Organisation: "kiosks-cairo"}
		s.sim.request(s.gateways[try%3].name, vmOf(s.sim.view.Primary), "session", session, func(reply Reply) { prefix = reply.Session })
		s.sim.runFor(4 * time.Second)
		if try == 5 {
			s.sim.heal(s.gateways)
		}
	}
	s.resendUntilExecuted(prefix + ".2")
	s.resendUntilExecuted(prefix + ".1")
	return []string{prefix + ".1", prefix + ".2"}, injected
}

// runRepair sends requests continuously while the records are replicated to a member that lost its disk.
func runRepair(s *setup, fault func(s *setup)) ([]string, *bool) {
	injected := s.injectAt("join", 1, fault)
	var keys []string
	s.sim.loseDisk(s.b)
	s.sim.reboot(s.b)
	for i := range 150 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
		s.gateways[i%3].submit(keys[i], false)
		s.sim.runFor(40 * time.Millisecond)
	}
	for i := range 150 {
		s.gateways[(i+1)%3].submit(keys[i], false)
		s.sim.runFor(40 * time.Millisecond)
	}
	return keys, injected
}

// runRelease releases the permit, and resends the request through gateways that can reach the upstream.
func runRelease(s *setup, fault func(s *setup)) ([]string, *bool) {
	injected := s.injectAt("release", 1, fault)
	s.first.submit("key", true)
	s.sim.runFor(time.Second)
	s.resendUntilExecuted("key")
	return []string{"key"}, injected
}

// runPartitionedZone sends requests while the availability zone cannot reach the consensus group.
func runPartitionedZone(s *setup, fault func(s *setup)) ([]string, *bool) {
	s.partitionZone()
	s.sim.runFor(5 * time.Second)
	injected := s.injectAt("copy", 1, fault)
	s.resendUntilExecuted("key")
	s.sim.runFor(10 * time.Second)
	if s.firstViewConnected() {
		outcome := s.gateways[1].submit("other", false).waitOutcome(10 * time.Second)
		if outcome != "ran" {
			s.sim.addViolation("the members of the partitioned view are connected and a request is %q", outcome)
		}
	}
	return []string{"key", "other"}, injected
}

// firstViewConnected reports whether all members of the first view run and reach each other.
func (s *setup) firstViewConnected() bool {
	running := s.a.up && s.b.up && !s.a.hung && !s.b.hung && s.a.incarnation+s.b.incarnation == 2
	return running && !s.sim.isBlocked("a", "b") && !s.sim.isBlocked("b", "a") && !s.a.member.shuttingDown && !s.b.member.shuttingDown
}

// matrixFaults injects each fault at each step while callers resend through other gateways. It guards against a fault
// that lets a key be executed twice, or that makes a caller believe that an executed key was not.
func matrixFaults(t *testing.T) {
	for _, scenario := range scenarios {
		for _, fault := range faults {
			t.Run(scenario.name+"/"+fault.name, func(t *testing.T) {
				for seed := range uint64(3) {
					s := newSetup(t, seed)
					keys, injected := scenario.run(s, fault.inject)
					assert.Assert(t, *injected)
					s.sim.heal(s.gateways)
					s.sim.runFor(30 * time.Second)
					s.sim.checkInvariants(s.first, keys)
					assert.Equal(t, len(s.sim.violations), 0, "seed %d: %v", seed, s.sim.violations)
				}
			})
		}
	}
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

// Guards against a joiner that misses entries of a full copy of many messages while requests continue.
func TestFullCopy(t *testing.T) {
	s := newSetup(t, 1)
	s.sim.loseDisk(s.b)
	s.sim.runFor(5 * time.Second)
	for n := range 5000 {
		begin := Begin{Zone: testZone, Organisation: "guild", Key: fmt.Sprintf("key-%d", n), Attempt: "1"}
		s.sim.step(s.a, Call{Request: begin})
		permit := Permit{Zone: testZone, Organisation: "guild", Key: begin.Key, Attempt: "1"}
		s.sim.step(s.a, Call{Request: permit.Finish(ResultAnswered, Response{Body: make([]byte, 1000)})})
	}
	s.sim.reboot(s.b)
	for n := range 200 {
		s.first.submit(fmt.Sprintf("later-%d", n), false)
		s.sim.runFor(10 * time.Millisecond)
	}
	s.sim.runFor(time.Second)
	assert.DeepEqual(t, s.sim.view.Members, []string{"a#1", "b#2"})
	s.sim.checkReplicas()
	assert.Equal(t, len(s.sim.violations), 0, "%v", s.sim.violations)
	assert.Assert(t, len(s.b.entries) > 5200)
}

// Guards against replaying a result that only the primary holds and that would be lost with it.
func matrixUnsynced(t *testing.T) {
	t.Run("at-most-once/finish/resend-before-the-copy", func(t *testing.T) {
		s := newSetup(t, 1)
		s.injectAt("finish", 1, func(s *setup) { s.block("a", "b"); s.first.dead = true })
		s.first.submit("key", false)
		s.sim.runFor(100 * time.Millisecond)
		assert.Equal(t, s.gateways[1].submit("key", false).waitOutcome(1500*time.Millisecond), "", "no reply is sent before the view changes")
		assert.Equal(t, s.gateways[2].submit("key", false).waitOutcome(5*time.Second), "ran")
	})
}

// matrixPartitionedZone guards against an availability zone that refuses its own requests because it cannot reach the
// consensus group although its members are connected, and against executing any of them twice after the partition.
func matrixPartitionedZone(t *testing.T) {
	t.Run("cut-off/booking/zone-cut-from-agreement", func(t *testing.T) {
		s := newSetup(t, 1)
		s.partitionZone()
		for hour := range 60 {
			c := s.first.submit(fmt.Sprintf("key-%d", hour), false)
			s.sim.runFor(time.Minute)
			assert.Equal(t, c.outcome, "ran")
		}
		s.sim.heal(s.gateways)
		assert.Equal(t, s.first.submit("key-0", false).waitOutcome(time.Minute), "ran")
		s.sim.checkInvariants(s.first, []string{"key-0", "key-59"})
		assert.Equal(t, len(s.sim.violations), 0, "%v", s.sim.violations)
	})
	t.Run("cut-off/booking/zone-cut-and-member-killed", func(t *testing.T) {
		s := newSetup(t, 1)
		s.partitionZone()
		s.sim.crash(s.b)
		assert.Equal(t, s.first.submit("key", false).waitOutcome(10*time.Second), "unknown")
		assert.Equal(t, len(s.sim.executed["key"]), 0)
		s.sim.heal(s.gateways)
		s.sim.runFor(10 * time.Second)
		assert.Equal(t, s.first.submit("key", false).waitOutcome(10*time.Second), "ran")
		assert.Equal(t, len(s.sim.executed["key"]), 1)
	})
}

// matrixPlannedStop guards against requests that wait for the heartbeat timeout of a member that is shut down
// gracefully.
func matrixPlannedStop(t *testing.T) {
	for _, vm := range []string{"a", "b"} {
		t.Run("planned-stop/controller/restart-"+vm, func(t *testing.T) {
			s := newSetup(t, 1)
			s.stopGracefully(s.sim.nodes[vm])
			for n := range 200 {
				c := s.first.submit(fmt.Sprintf("key-%d", n), false)
				assert.Equal(t, c.waitOutcome(time.Second), "ran", "request %d", n)
				s.sim.runFor(40 * time.Millisecond)
			}
			assert.Equal(t, len(s.sim.view.Members), 2, "the member has rejoined")
		})
	}
}

func (c *clientRequest) waitOutcome(limit time.Duration) string {
	c.g.sim.runUntil(limit, func() bool { return c.outcome != "" })
	return c.outcome
}

// Guards against a permit that exists only on the primary while a repaired member joins. Requests arrive continuously;
// the primary loses its connection to the joiner when the view is agreed, and then fails.
func matrixRepair(t *testing.T) {
	for seed := range uint64(100) {
		s := newSetup(t, seed)
		s.sim.loseDisk(s.b)
		s.sim.reboot(s.b)
		s.sim.onViewAgreed = func(v View) {
			if v.Has("b#2") {
				s.block("a", "b")
				s.after(s.sim.randomDuration(300*time.Millisecond), func() { s.sim.crash(s.a) })
			}
		}
		var keys []string
		for i := range 6000 {
			if s.a.up && i%3 == 0 {
				keys = append(keys, fmt.Sprintf("key-%d", i))
				s.first.submit(keys[len(keys)-1], false)
			}
			s.sim.runFor(time.Millisecond)
		}
		assert.Assert(t, !s.a.up)
		s.sim.setBlocked(false, "a", "b")
		for _, key := range keys {
			s.gateways[1].submit(key, false)
		}
		s.sim.runFor(20 * time.Second)
		assert.Equal(t, s.sim.view.Primary, "b#2", "the repaired member holds every permit and takes over")
		s.sim.heal(s.gateways)
		s.sim.runFor(20 * time.Second)
		for _, key := range keys {
			assert.Assert(t, len(s.sim.executed[key]) <= 1, "seed %d: %s was executed %d times", seed, key, len(s.sim.executed[key]))
		}
	}
}

// Guards against a stale primary, one that was replaced without knowing. Gateways still reach it, but it must neither
// grant a permit nor reply that a key was not executed.
func matrixStalePrimary(t *testing.T) {
	for name, isolate := range map[string]func(s *setup){
		"cut": func(s *setup) {
			s.isolatePrimary()
			s.sim.runFor(10 * time.Second)
		},
		"hang-and-resume": func(s *setup) {
			s.a.hung = true
			s.sim.runFor(10 * time.Second)
			s.block(consensus, "a")
			s.sim.resume(s.a)
		},
		"restart-after-joiner-proposed": func(s *setup) {
			s.sim.loseDisk(s.b)
			s.sim.runFor(5 * time.Second)
			assert.Equal(t, len(s.sim.view.Members), 1)
			s.sim.reboot(s.b)
			s.sim.onViewAgreed = func(v View) {
				if v.Has("b#2") && !s.sim.isBlocked(consensus, "a") {
					s.isolatePrimary()
					s.sim.crash(s.a)
					s.after(time.Second, func() { s.sim.reboot(s.a) })
				}
			}
			s.sim.runFor(20 * time.Second)
		},
	} {
		t.Run("at-most-once/stale-primary/"+name, func(t *testing.T) {
			s := newSetup(t, 1)
			isolate(s)
			assert.Equal(t, vmOf(s.sim.view.Primary), "b")
			staleGateway := &gateway{sim: s.sim, name: "g4", fixedVM: "a"}
			assert.Equal(t, s.first.submit("key", false).waitOutcome(time.Minute), "ran")
			for range 3 {
				staleGateway.lookUp("key").waitOutcome(5 * time.Second)
				staleGateway.submit("key", false).waitOutcome(20 * time.Second)
				staleGateway.submit("new", false).waitOutcome(20 * time.Second)
			}
			s.first.submit("new", false).waitOutcome(time.Minute)
			s.sim.heal(s.gateways)
			s.sim.runFor(20 * time.Second)
			s.sim.checkInvariants(s.first, []string{"key", "new"})
			assert.Equal(t, len(s.sim.violations), 0, "%v", s.sim.violations)
		})
	}
}

func (s *setup) isolatePrimary() {
	for _, end := range []string{"b", consensus} {
		s.block("a", end)
		s.block(end, "a")
	}
}
