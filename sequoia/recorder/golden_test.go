package recorder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// Guards against a change of the messages and effects of a booking, of a takeover and of a repair going unnoticed.
func TestGoldenSession(t *testing.T) {
	s := newScene(t, 7)
	var lines strings.Builder
	start := s.w.now
	s.w.trace = func(line string) {
		fmt.Fprintf(&lines, "%9.1fms  %s\n", float64(s.w.now.Sub(start).Microseconds())/1000, line)
	}
	s.first.book("pulley-7", false).wait(time.Second)
	fmt.Fprintln(&lines, "-- the primary stops after it gave the permit of the next booking")
	s.at("reply", 1, func(s *scene) { s.w.crash(s.a) })
	s.first.book("pulley-8", false)
	s.w.runFor(5 * time.Second)
	s.gateways[1].book("pulley-8", false).wait(time.Second)
	fmt.Fprintln(&lines, "-- it comes back with an empty disk")
	s.w.loseDisk(s.a)
	s.w.reboot(s.a)
	s.w.runFor(2 * time.Second)
	golden.Assert(t, lines.String(), "takeover.golden")
}
