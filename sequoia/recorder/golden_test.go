package recorder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// Records the messages and effects of a request, of a takeover and of a member that rejoins with an empty disk, so that
// any change of them shows in the golden file.
func TestGoldenTakeover(t *testing.T) {
	s := newSetup(t, 7)
	var lines strings.Builder
	start := s.sim.now
	s.sim.trace = func(line string) {
		fmt.Fprintf(&lines, "%9.1fms  %s\n", float64(s.sim.now.Sub(start).Microseconds())/1000, line)
	}
	s.first.submit("pulley-7", false).waitOutcome(time.Second)
	fmt.Fprintln(&lines, "-- the primary crashes after it granted the permit of the next request")
	s.injectAt("reply", 1, func(s *setup) { s.sim.crash(s.a) })
	s.first.submit("pulley-8", false)
	s.sim.runFor(5 * time.Second)
	s.gateways[1].submit("pulley-8", false).waitOutcome(time.Second)
	fmt.Fprintln(&lines, "-- it restarts with an empty disk")
	s.sim.loseDisk(s.a)
	s.sim.reboot(s.a)
	s.sim.runFor(2 * time.Second)
	golden.Assert(t, lines.String(), "takeover.golden")
}
