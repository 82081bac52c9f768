package recorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
