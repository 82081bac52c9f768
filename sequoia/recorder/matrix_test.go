package recorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steps of a booking at which faults are injected, before the named message is handled.
var bookingSteps = []string{"begin", "copy", "ack", "reply", "send", "answer", "finish", "done"}

// fault is something that happens to a world with the members a (primary) and b and the gateways g1 to g3.
type fault struct {
	name string
	do   func(s *scene)
}

var faults = []fault{
	{"none", func(*scene) {}},
	{"kill-gateway", func(s *scene) { s.first.dead = true }},
	{"hang-and-resume-gateway", func(s *scene) { s.first.hung = true; s.w.after(9*time.Second, s.first.resume) }},
	{"kill-primary", func(s *scene) { s.w.crash(s.a) }},
	{"restart-primary", func(s *scene) { s.w.crash(s.a); s.later(time.Second, func() { s.w.reboot(s.a) }) }},
	{"hang-and-resume-primary", func(s *scene) { s.a.hung = true; s.later(9*time.Second, func() { s.w.resume(s.a) }) }},
	{"short-hang-primary", func(s *scene) { s.a.hung = true; s.later(time.Second, func() { s.w.resume(s.a) }) }},
	{"kill-member", func(s *scene) { s.w.crash(s.b) }},
	{"hang-and-resume-member", func(s *scene) { s.b.hung = true; s.later(9*time.Second, func() { s.w.resume(s.b) }) }},
	{"primary-disk-lost", func(s *scene) { s.w.loseDisk(s.a); s.later(time.Second, func() { s.w.reboot(s.a) }) }},
	{"member-disk-lost", func(s *scene) { s.w.loseDisk(s.b); s.later(time.Second, func() { s.w.reboot(s.b) }) }},
	{"all-disks-lost", allDisksLost},
	{"disk-full", func(s *scene) { s.a.failNext = true; s.later(5*time.Second, func() { s.w.reboot(s.a) }) }},
	{"failed-sync", func(s *scene) {
		s.a.failNext, s.a.keepNext = true, true
		s.later(time.Second, func() { s.w.reboot(s.a) })
	}},
	{"member-disk-full", func(s *scene) { s.b.failNext = true; s.later(5*time.Second, func() { s.w.reboot(s.b) }) }},
	{"cut-between-members", func(s *scene) { s.cut("a", "b"); s.cut("b", "a") }},
	{"one-way-cut-to-member", func(s *scene) { s.cut("a", "b") }},
	{"one-way-cut-to-primary", func(s *scene) { s.cut("b", "a") }},
	{"primary-cut-from-agreement-and-member", func(s *scene) { s.cut("a", "b"); s.cut("b", "a"); s.cut("a", quorum); s.cut(quorum, "a") }},
	{"zone-cut-from-agreement", func(s *scene) { s.cutZone() }},
	{"gateway-cut", func(s *scene) { s.cut("g1", "a"); s.cut("a", "g1") }},
	{"one-way-cut-to-gateway", func(s *scene) { s.cut("a", "g1"); s.cut("b", "g1") }},
	{"duplicate", func(s *scene) { s.w.duplicate = 1 }},
	{"reorder", func(s *scene) { s.w.jitter = 300 * time.Millisecond }},
	{"late", func(s *scene) {
		s.w.jitter = 9 * time.Second
		s.later(time.Second, func() { s.w.jitter = 2 * time.Millisecond })
	}},
	{"clock-step-ahead", func(s *scene) { s.a.skew = 30 * 24 * time.Hour }},
	{"clock-step-back", func(s *scene) { s.a.skew = -30 * 24 * time.Hour }},
	{"two-at-once", func(s *scene) { s.first.dead = true; s.w.crash(s.a) }},
	{"primary-then-member", func(s *scene) { s.w.crash(s.a); s.later(time.Second, func() { s.w.crash(s.b); s.w.reboot(s.a) }) }},
	{"kill-again-during-recovery", killAgain},
	{"second-vm-fails-after-repair", secondFails},
}

func allDisksLost(s *scene) {
	s.w.loseDisk(s.a)
	s.w.loseDisk(s.b)
	s.later(time.Second, func() { s.w.reboot(s.a); s.w.reboot(s.b) })
}

// killAgain stops whichever member leads a second time, as soon as it has taken over.
func killAgain(s *scene) {
	s.w.crash(s.a)
	s.later(500*time.Millisecond, func() { s.w.reboot(s.a) })
	s.later(1200*time.Millisecond, func() { s.w.crash(s.a) })
	s.later(6*time.Second, func() { s.w.reboot(s.a) })
}

// secondFails loses the disk of b, and kills a in the moment in which the repaired b becomes a member again.
func secondFails(s *scene) {
	s.w.loseDisk(s.b)
	s.later(time.Second, func() { s.w.reboot(s.b) })
	s.w.onAgree = func(v View) {
		if v.Has("b#2") && s.a.up {
			s.w.crash(s.a)
		}
	}
}

type scene struct {
	w        *world
	a, b     *node
	first    *gateway
	gateways []*gateway
}

func newScene(t testing.TB, seed uint64) *scene {
	w := newWorld(t, seed, "a", "b")
	s := &scene{w: w, a: w.nodes["a"], b: w.nodes["b"]}
	for i := range 3 {
		s.gateways = append(s.gateways, &gateway{w: w, name: fmt.Sprintf("g%d", i+1)})
	}
	s.first = s.gateways[0]
	w.runFor(time.Second)
	return s
}

func (s *scene) later(d time.Duration, do func()) { s.w.after(d, do) }
func (s *scene) cut(from, to string)              { s.w.setCut(true, from, to) }

func (s *scene) cutZone() {
	for _, vm := range []string{"a", "b"} {
		s.cut(vm, quorum)
		s.cut(quorum, vm)
	}
}

// at performs a fault once, when a booking reaches a step.
func (s *scene) at(step string, do func(s *scene)) *bool {
	happened := false
	s.w.onStep = func(reached string) {
		if reached == step && !happened {
			happened = true
			do(s)
		}
	}
	return &happened
}

// matrixBooking injects each fault at each step of a booking, which the caller resends through other VMs. Guards
// against any fault making a second run possible.
func matrixBooking(t *testing.T) {
	for _, step := range bookingSteps {
		for _, fault := range faults {
			t.Run(step+"/"+fault.name, func(t *testing.T) {
				for seed := range uint64(10) {
					s := newScene(t, seed)
					happened := s.at(step, fault.do)
					s.resendUntilRan("key")
					assert.Assert(t, *happened)
					s.w.heal(s.gateways)
					s.w.runFor(30 * time.Second)
					s.w.check(s.first, []string{"key"})
					assert.Equal(t, len(s.w.faults), 0, "seed %d: %v", seed, s.w.faults)
				}
			})
		}
	}
}

// resendUntilRan books through g1, and again through the others each few seconds, also while an earlier request waits.
func (s *scene) resendUntilRan(key string) {
	for try := range 9 {
		b := s.gateways[try%3].book(key, false)
		s.w.runFor(time.Duration(1+try%4) * 1500 * time.Millisecond)
		if b.told == "ran" {
			return
		}
	}
}

// Guards against serving a result that only the primary holds and that would be lost with it.
func matrixUnsynced(t *testing.T) {
	t.Run("finish/resend-before-the-copy", func(t *testing.T) {
		s := newScene(t, 1)
		s.at("finish", func(s *scene) { s.cut("a", "b"); s.first.dead = true })
		s.first.book("key", false)
		s.w.runFor(100 * time.Millisecond)
		assert.Equal(t, s.gateways[1].book("key", false).wait(1500*time.Millisecond), "", "no reply before the view changes")
		assert.Equal(t, s.gateways[2].book("key", false).wait(5*time.Second), "ran")
	})
}

// matrixCutOff guards against an availability zone whose view is whole refusing its own bookings because it cannot
// reach the agreement, and against running any of them twice when the cut ends.
func matrixCutOff(t *testing.T) {
	t.Run("booking/zone-cut-from-agreement", func(t *testing.T) {
		s := newScene(t, 1)
		s.cutZone()
		for hour := range 60 {
			b := s.first.book(fmt.Sprintf("key-%d", hour), false)
			s.w.runFor(time.Minute)
			assert.Equal(t, b.told, "ran")
		}
		s.w.heal(s.gateways)
		assert.Equal(t, s.first.book("key-0", false).wait(time.Minute), "ran")
		s.w.check(s.first, []string{"key-0", "key-59"})
		assert.Equal(t, len(s.w.faults), 0, "%v", s.w.faults)
	})
	t.Run("booking/zone-cut-and-member-killed", func(t *testing.T) {
		s := newScene(t, 1)
		s.cutZone()
		s.w.crash(s.b)
		assert.Equal(t, s.first.book("key", false).wait(10*time.Second), "unknown")
		assert.Equal(t, len(s.w.executed["key"]), 0)
		s.w.heal(s.gateways)
		s.w.runFor(10 * time.Second)
		assert.Equal(t, s.first.book("key", false).wait(10*time.Second), "ran")
		assert.Equal(t, len(s.w.executed["key"]), 1)
	})
}

func (b *booking) wait(limit time.Duration) string {
	b.g.w.runUntil(limit, func() bool { return b.told != "" })
	return b.told
}

// Guards against a permit that exists on the primary alone while a repaired member joins: bookings arrive all the
// time, the primary can reach the joiner no more when the view is agreed, and then fails.
func matrixRepair(t *testing.T) {
	for seed := range uint64(100) {
		s := newScene(t, seed)
		s.w.loseDisk(s.b)
		s.w.reboot(s.b)
		s.w.onAgree = func(v View) {
			if v.Has("b#2") {
				s.cut("a", "b")
				s.later(s.w.within(300*time.Millisecond), func() { s.w.crash(s.a) })
			}
		}
		var keys []string
		for i := range 6000 {
			if s.a.up && i%3 == 0 {
				keys = append(keys, fmt.Sprintf("key-%d", i))
				s.first.book(keys[len(keys)-1], false)
			}
			s.w.runFor(time.Millisecond)
		}
		assert.Assert(t, !s.a.up)
		s.w.setCut(false, "a", "b")
		for _, key := range keys {
			s.gateways[1].book(key, false)
		}
		s.w.runFor(20 * time.Second)
		assert.Equal(t, s.w.view.Primary, "b#2", "the repaired member holds every permit and takes over")
		s.w.heal(s.gateways)
		s.w.runFor(20 * time.Second)
		for _, key := range keys {
			assert.Assert(t, len(s.w.executed[key]) <= 1, "seed %d: %s ran %d times", seed, key, len(s.w.executed[key]))
		}
	}
}

// Guards against a primary that was replaced without knowing: it must neither give a permit nor say that a key has
// not run. It learns nothing of the other member's view, but gateways still reach it.
func matrixStalePrimary(t *testing.T) {
	for name, isolate := range map[string]func(s *scene){
		"cut": func(s *scene) {
			s.isolateA()
			s.w.runFor(10 * time.Second)
		},
		"hang-and-resume": func(s *scene) {
			s.a.hung = true
			s.w.runFor(10 * time.Second)
			s.cut(quorum, "a")
			s.w.resume(s.a)
		},
		"restart-after-joiner-proposed": func(s *scene) {
			s.w.loseDisk(s.b)
			s.w.runFor(5 * time.Second)
			assert.Equal(t, len(s.w.view.Members), 1)
			s.w.reboot(s.b)
			s.w.onAgree = func(v View) {
				if v.Has("b#2") && !s.w.cut(quorum, "a") {
					s.isolateA()
					s.w.crash(s.a)
					s.later(time.Second, func() { s.w.reboot(s.a) })
				}
			}
			s.w.runFor(20 * time.Second)
		},
	} {
		t.Run("stale-primary/"+name, func(t *testing.T) {
			s := newScene(t, 1)
			isolate(s)
			assert.Equal(t, vmOf(s.w.view.Primary), "b")
			old := &gateway{w: s.w, name: "g4", via: "a"}
			assert.Equal(t, s.first.book("key", false).wait(time.Minute), "ran")
			for range 3 {
				old.lookUp("key").wait(5 * time.Second)
				old.book("key", false).wait(20 * time.Second)
				old.book("new", false).wait(20 * time.Second)
			}
			s.first.book("new", false).wait(time.Minute)
			s.w.heal(s.gateways)
			s.w.runFor(20 * time.Second)
			s.w.check(s.first, []string{"key", "new"})
			assert.Equal(t, len(s.w.faults), 0, "%v", s.w.faults)
		})
	}
}

func (s *scene) isolateA() {
	for _, end := range []string{"b", quorum} {
		s.cut("a", end)
		s.cut(end, "a")
	}
}
