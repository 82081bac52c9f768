package recorder

import "time"

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
