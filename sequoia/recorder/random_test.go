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

func schedules(t *testing.T) int {
	text := os.Getenv("SEQUOIA_SCHEDULES")
	if text == "" {
		return 500
	}
	count, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return count
}

// Guards against a second run of a key, not-run told for a key that ran, and an acknowledged result that is lost,
// under faults in any order; a failure names its seed.
func TestMatrix(t *testing.T) {
	t.Run("at-most-once/any/random-schedule", matrixRandom)
	t.Run("at-most-once/repair/second-vm-fails-under-load", matrixRepair)
	matrixFaults(t)
	matrixStalePrimary(t)
	matrixUnsynced(t)
	matrixExpiry(t)
	matrixEpoch(t)
	matrixCutOff(t)
	matrixPlannedStop(t)
}

func matrixRandom(t *testing.T) {
	for seed := range schedules(t) {
		w := randomSchedule(t, uint64(seed), nil)
		assert.Equal(t, len(w.faults), 0, "seed %d: %v", seed, w.faults)
	}
}

// randomSchedule runs callers that resend through any gateway until they know, while faults happen.
func randomSchedule(t testing.TB, seed uint64, trace func(string)) *world {
	vms := []string{"a", "b", "c"}[:1+seed%3]
	w := newWorld(t, seed, vms...)
	if trace != nil {
		w.trace = trace
	}
	w.stale = 0.3
	w.drop, w.duplicate = 0.05*w.rng.Float64(), 0.1*w.rng.Float64()
	w.jitter = time.Millisecond << w.rng.IntN(9)
	gateways := []*gateway{{w: w, name: "g1"}, {w: w, name: "g2"}, {w: w, name: "g3"}}
	w.shortenPermits(5 * time.Second)
	keys := make([]string, 6)
	for i := range keys {
		keys[i] = w.randomKey(i)
		w.after(w.within(20*time.Second), func() { w.pursue(gateways, keys[i], 6) })
		w.after(w.within(20*time.Second), func() { w.pursue(gateways, keys[i], 2) })
	}
	for range 1 + w.rng.IntN(10) {
		w.after(w.within(20*time.Second), func() { w.randomFault(gateways, vms) })
	}
	w.runFor(40 * time.Second)
	w.heal(gateways)
	w.runFor(30 * time.Second)
	w.check(gateways[0], keys)
	return w
}

// shortenPermits makes permits end within a schedule.
func (w *world) shortenPermits(lifetime time.Duration) {
	w.config.PermitLifetime = lifetime
	for _, n := range w.nodes {
		n.member.config.PermitLifetime = lifetime
	}
}

// randomKey returns a key of one of the three kinds; the session is opened before any fault.
func (w *world) randomKey(i int) string {
	switch w.rng.IntN(3) {
	case 0:
		return timedKey(w.now.Add(time.Duration(i) * time.Second))
	case 1:
		prefix := ""
		drop := w.drop
		w.drop = 0
		w.ask("g1", vmOf(w.view.Primary), "session", Session{Zone: testZone, Organisation: "kiosks-cairo"}, func(reply Reply) { prefix = reply.Session })
		w.runUntil(20*time.Second, func() bool { return prefix != "" })
		w.drop = drop
		return prefix + ".1"
	}
	return fmt.Sprintf("opaque-%d", i)
}

func (w *world) within(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

// pursue books a key and resends through another gateway until the caller knows that it ran.
func (w *world) pursue(gateways []*gateway, key string, tries int) {
	if tries == 0 {
		return
	}
	g := gateways[w.rng.IntN(len(gateways))]
	if w.rng.IntN(3) == 0 {
		g.lookUp(key)
	}
	b := g.book(key, w.rng.IntN(4) == 0)
	w.after(w.within(6*time.Second), func() {
		if b.told != "ran" {
			w.pursue(gateways, key, tries-1)
		}
	})
}

func (w *world) randomFault(gateways []*gateway, vms []string) {
	n := w.nodes[vms[w.rng.IntN(len(vms))]]
	g := gateways[w.rng.IntN(len(gateways))]
	pause := w.within(8 * time.Second)
	switch w.rng.IntN(10) {
	case 0:
		w.crash(n)
		w.after(pause, func() { w.reboot(n) })
	case 1:
		w.loseDisk(n)
		w.after(pause, func() { w.reboot(n) })
	case 2:
		n.failNext, n.keepNext = true, w.rng.IntN(2) == 0
		w.after(pause, func() { w.reboot(n) })
	case 3:
		n.hung = true
		w.after(pause, func() { w.resume(n) })
	case 4:
		g.hung = true
		w.after(pause, g.resume)
	case 5:
		g.dead = true
		w.after(pause, func() { g.dead, g.held = false, nil })
	case 6:
		n.skew = time.Duration(w.rng.IntN(3)-1) * time.Hour
	case 7:
		w.onNode(n, func() { w.step(n, Shutdown{}) })
		w.after(pause/2, func() { w.crash(n) })
		w.after(pause, func() { w.reboot(n) })
	case 8, 9:
		ends := append([]string{quorum, g.name}, vms...)
		from, to := ends[w.rng.IntN(len(ends))], ends[w.rng.IntN(len(ends))]
		both := w.rng.IntN(2) == 0
		w.setCut(true, from, to)
		w.setCut(both || w.cut(to, from), to, from)
		w.after(pause, func() { w.setCut(false, from, to); w.setCut(false, to, from) })
	}
}

func (w *world) reboot(n *node) {
	if !n.up {
		w.boot(n)
	}
}

func (w *world) heal(gateways []*gateway) {
	w.cuts, w.drop, w.stale = map[string]bool{}, 0, 0
	for _, vm := range slices.Sorted(maps.Keys(w.nodes)) {
		n := w.nodes[vm]
		n.skew, n.failNext = 0, false
		w.resume(n)
		w.reboot(n)
	}
	for _, g := range gateways {
		g.dead = false
		g.resume()
	}
}

// checkCopies requires that the members of the view soon hold the same in memory and on their disks.
func (w *world) checkCopies() {
	w.runUntil(5*time.Second, w.copiesAgree)
	if !w.copiesAgree() {
		w.broken("the members of view %d do not hold the same", w.view.Number)
	}
}

func (w *world) copiesAgree() bool {
	primary := w.nodes[vmOf(w.view.Primary)]
	return !slices.ContainsFunc(w.view.Members, func(member string) bool {
		n := w.nodes[vmOf(member)]
		same := reflect.DeepEqual(n.entries, n.member.table.entries) && reflect.DeepEqual(n.entries, primary.entries)
		return n.id() != member || !same
	})
}

// check looks every key up after all faults have ended.
func (w *world) check(g *gateway, keys []string) {
	w.checkCopies()
	for _, key := range keys {
		if len(w.executed[key]) > 1 {
			w.broken("%s ran %d times", key, len(w.executed[key]))
		}
		found := Outcome("")
		lookup := Lookup{Zone: testZone, Organisation: "kiosks-cairo", Key: key}
		w.ask(g.name, vmOf(w.view.Primary), "lookup", lookup, func(reply Reply) { found = reply.Outcome })
		w.runFor(5 * time.Second)
		switch {
		case found == "" || found == OutcomeNotPrimary || found == OutcomeUnavailable:
			w.broken("the record group does not answer for %s after all faults have ended: %q", key, found)
		case w.answered[key] && found != OutcomeReplay && !w.lostAll:
			w.broken("the acknowledged result of %s is %s", key, found)
		case len(w.executed[key]) > 0 && (found == OutcomeAbsent || found == OutcomeRefused):
			w.broken("%s ran and is %s", key, found)
		}
	}
}
