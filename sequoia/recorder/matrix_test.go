package recorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
	{"failed-fsync", func(s *scene) {
		s.a.failNext, s.a.keepNext = true, true
		s.later(time.Second, func() { s.w.reboot(s.a) })
	}},
	{"torn-record", func(s *scene) { s.a.failNext = true; s.later(time.Second, func() { s.w.reboot(s.a) }) }},
	{"member-disk-full", func(s *scene) { s.b.failNext = true; s.later(5*time.Second, func() { s.w.reboot(s.b) }) }},
	{"cut-between-members", func(s *scene) { s.cut("a", "b"); s.cut("b", "a") }},
	{"one-way-cut-to-member", func(s *scene) { s.cut("a", "b") }},
	{"one-way-cut-to-primary", func(s *scene) { s.cut("b", "a") }},
	{"primary-cut-from-agreement-and-member", func(s *scene) { s.cut("a", "b"); s.cut("b", "a"); s.cut("a", quorum); s.cut(quorum, "a") }},
	{"zone-cut-from-agreement", func(s *scene) { s.cutZone() }},
	{"gateway-cut", func(s *scene) { s.cut("g1", "a"); s.cut("a", "g1") }},
	{"one-way-cut-to-gateway", func(s *scene) { s.cut("a", "g1"); s.cut("b", "g1") }},
	{"slow-link", func(s *scene) { s.w.distance = 250 * time.Millisecond }},
	{"silent-connection", silentConnection},
	{"duplicate", func(s *scene) { s.w.duplicate = 1 }},
	{"reorder", func(s *scene) { s.w.jitter = 300 * time.Millisecond }},
	{"late-message", func(s *scene) {
		s.w.jitter = 9 * time.Second
		s.later(time.Second, func() { s.w.jitter = 2 * time.Millisecond })
	}},
	{"clock-step-ahead", func(s *scene) { s.a.skew = 30 * 24 * time.Hour }},
	{"clock-step-back", func(s *scene) { s.a.skew = -30 * 24 * time.Hour }},
	{"planned-stop-primary", func(s *scene) { s.stop(s.a) }},
	{"planned-stop-member", func(s *scene) { s.stop(s.b) }},
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

// silentConnection passes nothing until the keepalive (3 s) has replaced the connection.
func silentConnection(s *scene) {
	s.cut("a", "b")
	s.cut("b", "a")
	s.later(3*time.Second, func() { s.w.setCut(false, "a", "b"); s.w.setCut(false, "b", "a") })
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

// stop lets a member hand over and stops it as soon as it is out of the view.
func (s *scene) stop(n *node) {
	s.w.onNode(n, func() { s.w.step(n, Shutdown{}) })
	s.later(500*time.Millisecond, func() { s.w.crash(n) })
	s.later(5*time.Second, func() { s.w.reboot(n) })
}

func (s *scene) later(d time.Duration, do func()) { s.w.after(d, do) }
func (s *scene) cut(from, to string)              { s.w.setCut(true, from, to) }

func (s *scene) cutZone() {
	for _, vm := range []string{"a", "b"} {
		s.cut(vm, quorum)
		s.cut(quorum, vm)
	}
}

// at performs a fault once, when a step is reached for the given time.
func (s *scene) at(step string, time int, do func(s *scene)) *bool {
	happened := false
	s.w.onStep = func(reached string) {
		if reached != step || happened {
			return
		}
		if time--; time == 0 {
			happened = true
			do(s)
		}
	}
	return &happened
}

// scenario is some use of the records; fault is to happen when the scenario reaches its step.
type scenario struct {
	name string // property/step
	play func(s *scene, fault func(s *scene)) (keys []string, happened *bool)
}

var scenarios = append([]scenario{
	{"at-most-once/resend", playResend},
	{"at-most-once/session", playSession},
	{"at-most-once/repair", playRepair},
	{"not-run/release", playRelease},
	{"cut-off/booking", playCutOff},
}, bookingScenarios("begin", "copy", "ack", "reply", "send", "answer", "finish", "done")...)

// bookingScenarios are bookings with a fault before the named message is handled.
func bookingScenarios(steps ...string) []scenario {
	var all []scenario
	for _, step := range steps {
		all = append(all, scenario{"at-most-once/" + step, func(s *scene, fault func(s *scene)) ([]string, *bool) {
			happened := s.at(step, 1, fault)
			s.resendUntilRan("key")
			return []string{"key"}, happened
		}})
	}
	return all
}

func playResend(s *scene, fault func(s *scene)) ([]string, *bool) {
	happened := s.at("begin", 2, fault)
	s.first.book("key", false)
	s.resendUntilRan("key")
	return []string{"key"}, happened
}

func playSession(s *scene, fault func(s *scene)) ([]string, *bool) {
	happened := s.at("session", 1, fault)
	prefix := ""
	for try := 0; prefix == ""; try++ {
		session := Session{Zone: testZone, Organisation: "kiosks-cairo"}
		s.w.ask(s.gateways[try%3].name, vmOf(s.w.view.Primary), "session", session, func(reply Reply) { prefix = reply.Session })
		s.w.runFor(4 * time.Second)
		if try == 5 {
			s.w.heal(s.gateways)
		}
	}
	s.resendUntilRan(prefix + ".2")
	s.resendUntilRan(prefix + ".1")
	return []string{prefix + ".1", prefix + ".2"}, happened
}

// playRepair books all the time while a member that lost its disk is copied to.
func playRepair(s *scene, fault func(s *scene)) ([]string, *bool) {
	happened := s.at("join", 1, fault)
	var keys []string
	s.w.loseDisk(s.b)
	s.w.reboot(s.b)
	for i := range 150 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
		s.gateways[i%3].book(keys[i], false)
		s.w.runFor(40 * time.Millisecond)
	}
	for i := range 150 {
		s.gateways[(i+1)%3].book(keys[i], false)
		s.w.runFor(40 * time.Millisecond)
	}
	return keys, happened
}

// playRelease gives the permit back, and books again through gateways that can send.
func playRelease(s *scene, fault func(s *scene)) ([]string, *bool) {
	happened := s.at("release", 1, fault)
	s.first.book("key", true)
	s.w.runFor(time.Second)
	s.resendUntilRan("key")
	return []string{"key"}, happened
}

// playCutOff books while the availability zone cannot reach the agreement.
func playCutOff(s *scene, fault func(s *scene)) ([]string, *bool) {
	s.cutZone()
	s.w.runFor(5 * time.Second)
	happened := s.at("copy", 1, fault)
	s.resendUntilRan("key")
	s.w.runFor(10 * time.Second)
	if s.whole() {
		told := s.gateways[1].book("other", false).wait(10 * time.Second)
		if told != "ran" {
			s.w.broken("the cut-off view is whole and a booking is %q", told)
		}
	}
	return []string{"key", "other"}, happened
}

// whole reports whether all members of the first view run and reach each other.
func (s *scene) whole() bool {
	running := s.a.up && s.b.up && !s.a.hung && !s.b.hung && s.a.number+s.b.number == 2
	return running && !s.w.cut("a", "b") && !s.w.cut("b", "a") && !s.a.member.leaving && !s.b.member.leaving
}

// matrixFaults injects each fault at each step; callers resend through other VMs. Guards against any fault making a
// second run possible, or making a caller believe that a key which ran has not run.
func matrixFaults(t *testing.T) {
	for _, each := range scenarios {
		for _, fault := range faults {
			t.Run(each.name+"/"+fault.name, func(t *testing.T) {
				for seed := range uint64(3) {
					s := newScene(t, seed)
					keys, happened := each.play(s, fault.do)
					assert.Assert(t, *happened)
					s.w.heal(s.gateways)
					s.w.runFor(30 * time.Second)
					s.w.check(s.first, keys)
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

// Guards against a joiner that misses entries of a copy that takes many messages, while bookings go on.
func TestFullCopy(t *testing.T) {
	s := newScene(t, 1)
	s.w.loseDisk(s.b)
	s.w.runFor(5 * time.Second)
	for n := range 5000 {
		begin := Begin{Zone: testZone, Organisation: "guild", Key: fmt.Sprintf("key-%d", n), Attempt: "1"}
		s.w.step(s.a, Call{Request: begin})
		permit := Permit{Zone: testZone, Organisation: "guild", Key: begin.Key, Attempt: "1"}
		s.w.step(s.a, Call{Request: permit.Finish(ResultAnswered, Response{Body: make([]byte, 1000)})})
	}
	s.w.reboot(s.b)
	for n := range 200 {
		s.first.book(fmt.Sprintf("later-%d", n), false)
		s.w.runFor(10 * time.Millisecond)
	}
	s.w.runFor(time.Second)
	assert.DeepEqual(t, s.w.view.Members, []string{"a#1", "b#2"})
	s.w.checkCopies()
	assert.Equal(t, len(s.w.faults), 0, "%v", s.w.faults)
	assert.Assert(t, len(s.b.entries) > 5200)
}

// Guards against serving a result that only the primary holds and that would be lost with it.
func matrixUnsynced(t *testing.T) {
	t.Run("at-most-once/finish/resend-before-the-copy", func(t *testing.T) {
		s := newScene(t, 1)
		s.at("finish", 1, func(s *scene) { s.cut("a", "b"); s.first.dead = true })
		s.first.book("key", false)
		s.w.runFor(100 * time.Millisecond)
		assert.Equal(t, s.gateways[1].book("key", false).wait(1500*time.Millisecond), "", "no reply before the view changes")
		assert.Equal(t, s.gateways[2].book("key", false).wait(5*time.Second), "ran")
	})
}

// matrixCutOff guards against an availability zone whose view is whole refusing its own bookings because it cannot
// reach the agreement, and against running any of them twice when the cut ends.
func matrixCutOff(t *testing.T) {
	t.Run("cut-off/booking/zone-cut-from-agreement", func(t *testing.T) {
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
	t.Run("cut-off/booking/zone-cut-and-member-killed", func(t *testing.T) {
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

// matrixPlannedStop guards against bookings that wait for the silence of a member that stops on purpose.
func matrixPlannedStop(t *testing.T) {
	for _, vm := range []string{"a", "b"} {
		t.Run("planned-stop/controller/restart-"+vm, func(t *testing.T) {
			s := newScene(t, 1)
			s.stop(s.w.nodes[vm])
			for n := range 200 {
				b := s.first.book(fmt.Sprintf("key-%d", n), false)
				assert.Equal(t, b.wait(time.Second), "ran", "booking %d", n)
				s.w.runFor(40 * time.Millisecond)
			}
			assert.Equal(t, len(s.w.view.Members), 2, "the member is back")
		})
	}
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
		t.Run("at-most-once/stale-primary/"+name, func(t *testing.T) {
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
