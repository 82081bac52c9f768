package isolator

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const defaultSchedules = 500

// scheduleCount returns the number of random schedules per test.
func scheduleCount() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return defaultSchedules
}

var crashingFingerprint = Fingerprint{0xff}

// simulatedFleet is a set of gateways whose upstreams a test crashes.
type simulatedFleet struct {
	random          *rand.Rand
	now             time.Time
	gateways        []*Isolator
	zones           []string // by gateway
	lastUpstream    int      // number of the last upstream created
	requests        int
	lost            map[Upstream]bool
	lostByZone      map[string]int
	pending         []pendingFinding
	instantDelivery bool // findings reach all gateways immediately
}

// pendingFinding is a finding that has not been delivered to the other gateways.
type pendingFinding struct {
	from    int
	finding Finding
}

func newSimulatedFleet(seed uint64, zones ...string) *simulatedFleet {
	f := &simulatedFleet{
		random:          rand.New(rand.NewPCG(seed, seed)),
		now:             time.Unix(1000, 0),
		zones:           zones,
		lost:            map[Upstream]bool{},
		lostByZone:      map[string]int{},
		instantDelivery: true,
	}
	for range zones {
		f.gateways = append(f.gateways, New())
	}
	return f
}

func (f *simulatedFleet) upstream(g int) Upstream {
	f.lastUpstream++
	return Upstream{Name: fmt.Sprint("runner-", f.lastUpstream), Zone: f.zones[g], Incarnation: 1}
}

// send sends a request according to the verdict. It returns false if the request may not run now.
func (f *simulatedFleet) send(g int, fingerprint Fingerprint, u Upstream) (string, Upstream, bool) {
	v := f.gateways[g].Evaluate(f.now, fingerprint)
	switch v.Kind {
	case VerdictRefuse, VerdictWait:
		return "", u, false
	case VerdictSameUpstream:
		u = v.Upstream
	case VerdictExclusive:
		u = f.upstream(g)
	}
	f.requests++
	id := strconv.Itoa(f.requests)
	f.publish(g, f.gateways[g].Step(f.now, Started{RequestID: id, Fingerprint: fingerprint, Upstream: u, Exclusive: v.Kind == VerdictExclusive}))
	return id, u, true
}

func (f *simulatedFleet) crash(u Upstream) {
	if f.lost[u] {
		return
	}
	f.lost[u] = true
	f.lostByZone[u.Zone]++
	for g, iso := range f.gateways {
		f.publish(g, iso.Step(f.now, Crashed{Upstream: u}))
	}
}

func (f *simulatedFleet) publish(from int, effects []Effect) {
	for _, e := range effects {
		f.pending = append(f.pending, pendingFinding{from: from, finding: e.(Finding)})
	}
	if f.instantDelivery {
		f.deliver()
	}
}

func (f *simulatedFleet) deliver() {
	for _, m := range f.pending {
		for g, iso := range f.gateways {
			if g != m.from {
				iso.Step(f.now, PeerFinding{Finding: m.finding})
			}
		}
	}
	f.pending = nil
}

func TestMatrix(t *testing.T) {
	t.Run("crashing-request/resend/one-gateway", resentToOneGateway)
	t.Run("crashing-request/resend/news-delayed", resentBeforeFindingsArrive)
	t.Run("crashing-request/resend/all-zones", resentToAllZones)
	t.Run("crashing-request/batch/innocent-requests", harmlessRequestsInBatch)
	t.Run("crashing-request/trial/harmless-before", crashesAfterCompletion)
}

// resentToOneGateway checks that a crashing request that is resent to one gateway costs at most 2 upstreams.
func resentToOneGateway(t *testing.T) {
	for seed := range scheduleCount() {
		f := newSimulatedFleet(uint64(seed), "a")
		var running []Upstream
		for range 40 {
			f.now = f.now.Add(time.Duration(f.random.IntN(10)) * time.Second)
			if f.random.IntN(2) == 0 {
				if _, u, ok := f.send(0, crashingFingerprint, f.upstream(0)); ok {
					running = append(running, u)
				}
			} else if len(running) > 0 {
				f.crash(running[f.random.IntN(len(running))])
			}
			f.gateways[0].Tick(f.now)
		}
		assert.Assert(t, len(f.lost) <= 2, "seed %d: %d upstreams lost", seed, len(f.lost))
	}
}

// resentBeforeFindingsArrive checks that an availability zone with g gateways loses at most g+1 upstreams if findings
// are delayed.
func resentBeforeFindingsArrive(t *testing.T) {
	for seed := range scheduleCount() {
		f := newSimulatedFleet(uint64(seed), "a", "a", "a")
		f.instantDelivery = false
		var running []Upstream
		for g := range f.gateways {
			if _, u, ok := f.send(g, crashingFingerprint, f.upstream(g)); ok {
				running = append(running, u)
			}
		}
		for _, u := range running {
			f.crash(u)
		}
		f.deliver()
		f.instantDelivery = true
		verdict := f.gateways[0].Evaluate(f.now, crashingFingerprint).Kind
		assert.Assert(t, len(f.lost) < MaxLostUpstreams || verdict == VerdictRefuse, "seed %d: %s", seed, verdict)
		for range 20 {
			if _, u, ok := f.send(f.random.IntN(3), crashingFingerprint, f.upstream(0)); ok {
				f.crash(u)
			}
		}
		assert.Assert(t, f.lostByZone["a"] <= len(f.gateways)+1, "seed %d: %d lost", seed, f.lostByZone["a"])
	}
}

// resentToAllZones checks that the losses are bounded if a crashing request is resent to different availability zones.
func resentToAllZones(t *testing.T) {
	for seed := range scheduleCount() {
		f := newSimulatedFleet(uint64(seed), "a", "b", "c", "d")
		for range 60 {
			f.now = f.now.Add(time.Second)
			if _, u, ok := f.send(f.random.IntN(4), crashingFingerprint, f.upstream(0)); ok {
				f.crash(u)
			}
		}
		assert.Assert(t, len(f.lost) <= MaxLostUpstreams, "seed %d: %d lost", seed, len(f.lost))
		for zone, lost := range f.lostByZone {
			assert.Assert(t, lost <= 2, "seed %d: %d lost in %s", seed, lost, zone)
		}
	}
}

// harmlessRequestsInBatch checks that requests that only shared a batch with the crashing one are cleared by a trial.
func harmlessRequestsInBatch(t *testing.T) {
	f := newSimulatedFleet(1, "a")
	u := f.upstream(0)
	for i := range 8 {
		f.send(0, Fingerprint{byte(i)}, u)
	}
	f.send(0, crashingFingerprint, u)
	f.crash(u)
	for i := range 8 {
		fingerprint := Fingerprint{byte(i)}
		assert.Equal(t, f.gateways[0].Evaluate(f.now, fingerprint).Kind, VerdictExclusive)
		id, _, _ := f.send(0, fingerprint, u)
		f.publish(0, f.gateways[0].Step(f.now, Ended{RequestID: id, Complete: true}))
		assert.Equal(t, f.gateways[0].Evaluate(f.now, fingerprint).Kind, VerdictUnrestricted)
	}
	_, exclusive, _ := f.send(0, crashingFingerprint, u)
	f.crash(exclusive)
	verdict := f.gateways[0].Evaluate(f.now, crashingFingerprint)
	assert.Equal(t, verdict.Kind, VerdictRefuse)
	assert.Equal(t, verdict.RetryAfter, RefusalTTL)
	assert.Equal(t, f.gateways[0].Evaluate(f.now.Add(2*RefusalTTL), crashingFingerprint).Kind, VerdictUnrestricted)
}

// crashesAfterCompletion checks that a request is suspected even if it completed before it started to crash upstreams.
func crashesAfterCompletion(t *testing.T) {
	f := newSimulatedFleet(1, "a")
	id, _, _ := f.send(0, crashingFingerprint, f.upstream(0))
	f.publish(0, f.gateways[0].Step(f.now, Ended{RequestID: id, Complete: true}))
	for range 20 {
		if _, u, ok := f.send(0, crashingFingerprint, f.upstream(0)); ok {
			f.crash(u)
		}
	}
	assert.Assert(t, len(f.lost) <= MaxLostUpstreams, "%d lost", len(f.lost))
}
