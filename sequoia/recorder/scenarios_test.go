package recorder

import (
	"fmt"
	"time"
)

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
