package recorder

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func scheduleCount(t *testing.T) int {
	text := os.Getenv("SEQUOIA_SCHEDULES")
	if text == "" {
		return 500
	}
	count, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return count
}

// Guards against a key that is executed twice, an executed key that is reported as not executed, and the loss of an
// acknowledged result, under faults in any order. A failure prints its seed.
func TestMatrix(t *testing.T) {
	t.Run("at-most-once/any/random-schedule", matrixRandom)
	t.Run("at-most-once/repair/second-vm-fails-under-load", matrixRepair)
	matrixFaults(t)
	matrixStalePrimary(t)
	matrixUnsynced(t)
	matrixExpiry(t)
	matrixEpoch(t)
	matrixPartitionedZone(t)
	matrixPlannedStop(t)
}

func matrixRandom(t *testing.T) {
	for seed := range scheduleCount(t) {
		sim := randomSchedule(t, uint64(seed), nil)
		assert.Equal(t, len(sim.violations), 0, "seed %d: %v", seed, sim.violations)
	}
}

// randomSchedule runs callers that resend through random gateways until they know the outcome, while random faults are
// injected.
func randomSchedule(t testing.TB, seed uint64, trace func(string)) *simulation {
	vms := []string{"a", "b", "c"}[:1+seed%3]
	sim := newSimulation(t, seed, vms...)
	if trace != nil {
		sim.trace = trace
	}
	sim.staleRate = 0.3
	sim.dropRate, sim.duplicateRate = 0.05*sim.rng.Float64(), 0.1*sim.rng.Float64()
	sim.jitter = time.Millisecond << sim.rng.IntN(9)
	gateways := []*gateway{{sim: sim, name: "g1"}, {sim: sim, name: "g2"}, {sim: sim, name: "g3"}}
	sim.shortenPermits(5 * time.Second)
	keys := make([]string, 6)
	for i := range keys {
		keys[i] = sim.randomKey(i)
		sim.after(sim.randomDuration(20*time.Second), func() { sim.resendUntilKnown(gateways, keys[i], 6) })
		sim.after(sim.randomDuration(20*time.Second), func() { sim.resendUntilKnown(gateways, keys[i], 2) })
	}
	for range 1 + sim.rng.IntN(10) {
		sim.after(sim.randomDuration(20*time.Second), func() { sim.randomFault(gateways, vms) })
	}
	sim.runFor(40 * time.Second)
	sim.heal(gateways)
	sim.runFor(30 * time.Second)
	sim.checkInvariants(gateways[0], keys)
	return sim
}

// shortenPermits makes permits expire within a schedule.
func (sim *simulation) shortenPermits(lifetime time.Duration) {
	sim.config.PermitLifetime = lifetime
	for _, n := range sim.nodes {
		n.member.config.PermitLifetime = lifetime
	}
}

// randomKey returns a key of one of the three kinds. A session is opened before any fault is injected.
func (sim *simulation) randomKey(i int) string {
	switch sim.rng.IntN(3) {
	case 0:
		return timedKey(sim.now.Add(time.Duration(i) * time.Second))
	case 1:
		prefix := ""
		drop := sim.dropRate
		sim.dropRate = 0
		sim.request("g1", vmOf(sim.view.Primary), "session", Session{Zone: testZone, Organisation: "kiosks-cairo"}, func(reply Reply) { prefix = reply.Session })
		sim.runUntil(20*time.Second, func() bool { return prefix != "" })
		sim.dropRate = drop
		return prefix + ".1"
	}
	return fmt.Sprintf("opaque-%d", i)
}

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// resendUntilKnown sends a request and resends it through random gateways until the caller knows that it was executed.
func (sim *simulation) resendUntilKnown(gateways []*gateway, key string, maxSends int) {
	if maxSends == 0 {
		return
	}
	g := gateways[sim.rng.IntN(len(gateways))]
	if sim.rng.IntN(3) == 0 {
		g.lookUp(key)
	}
	c := g.submit(key, sim.rng.IntN(4) == 0)
	sim.after(sim.randomDuration(6*time.Second), func() {
		if c.outcome != "ran" {
			sim.resendUntilKnown(gateways, key, maxSends-1)
		}
	})
}

func (sim *simulation) randomFault(gateways []*gateway, vms []string) {
	n := sim.nodes[vms[sim.rng.IntN(len(vms))]]
	g := gateways[sim.rng.IntN(len(gateways))]
	pause := sim.randomDuration(8 * time.Second)
	switch sim.rng.IntN(10) {
	case 0:
		sim.crash(n)
		sim.after(pause, func() { sim.reboot(n) })
	case 1:
		sim.loseDisk(n)
		sim.after(pause, func() { sim.reboot(n) })
	case 2:
		n.failNextWrite, n.keepFailedWrite = true, sim.rng.IntN(2) == 0
		sim.after(pause, func() { sim.reboot(n) })
	case 3:
		n.hung = true
		sim.after(pause, func() { sim.resume(n) })
	case 4:
		g.hung = true
		sim.after(pause, g.resume)
	case 5:
		g.dead = true
		sim.after(pause, func() { g.dead, g.queued = false, nil })
	case 6:
		n.clockSkew = time.Duration(sim.rng.IntN(3)-1) * time.Hour
	case 7:
		sim.runOnNode(n, func() { sim.step(n, Shutdown{}) })
		sim.after(pause/2, func() { sim.crash(n) })
		sim.after(pause, func() { sim.reboot(n) })
	case 8, 9:
		ends := append([]string{consensus, g.name}, vms...)
		from, to := ends[sim.rng.IntN(len(ends))], ends[sim.rng.IntN(len(ends))]
		both := sim.rng.IntN(2) == 0
		sim.setBlocked(true, from, to)
		sim.setBlocked(both || sim.isBlocked(to, from), to, from)
		sim.after(pause, func() { sim.setBlocked(false, from, to); sim.setBlocked(false, to, from) })
	}
}

func (sim *simulation) reboot(n *node) {
	if !n.up {
		sim.boot(n)
	}
}

func (sim *simulation) heal(gateways []*gateway) {
	sim.blockedLinks, sim.dropRate, sim.staleRate = map[string]bool{}, 0, 0
	for _, vm := range slices.Sorted(maps.Keys(sim.nodes)) {
		n := sim.nodes[vm]
		n.clockSkew, n.failNextWrite = 0, false
		sim.resume(n)
		sim.reboot(n)
	}
	for _, g := range gateways {
		g.dead = false
		g.resume()
	}
}

// checkReplicas requires that the members of the view converge to the same entries in memory and on disk.
func (sim *simulation) checkReplicas() {
	sim.runUntil(5*time.Second, sim.replicasAgree)
	if !sim.replicasAgree() {
		sim.addViolation("the members of view %d hold different entries", sim.view.Number)
	}
}

func (sim *simulation) replicasAgree() bool {
	primary := sim.nodes[vmOf(sim.view.Primary)]
	return !slices.ContainsFunc(sim.view.Members, func(member string) bool {
		n := sim.nodes[vmOf(member)]
		same := reflect.DeepEqual(n.entries, n.member.table.entries) && reflect.DeepEqual(n.entries, primary.entries)
		return n.id() != member || !same
	})
}

// checkInvariants looks up every key after all faults have ended.
func (sim *simulation) checkInvariants(g *gateway, keys []string) {
	sim.checkReplicas()
	for _, key := range keys {
		if len(sim.executed[key]) > 1 {
			sim.addViolation("%s was executed %d times", key, len(sim.executed[key]))
		}
		found := Outcome("")
		lookup := Lookup{Zone: testZone, Organisation: "kiosks-cairo", Key: key}
		sim.request(g.name, vmOf(sim.view.Primary), "lookup", lookup, func(reply Reply) { found = reply.Outcome })
		sim.runFor(5 * time.Second)
		switch {
		case found == "" || found == OutcomeNotPrimary || found == OutcomeUnavailable:
			sim.addViolation("no answer of the record group for %s after all faults have ended: %q", key, found)
		case sim.acknowledged[key] && found != OutcomeReplay && !sim.allDisksLost:
			sim.addViolation("the acknowledged result of %s is %s", key, found)
		case len(sim.executed[key]) > 0 && (found == OutcomeAbsent || found == OutcomeRefused):
			sim.addViolation("%s was executed and is %s", key, found)
		}
	}
}
