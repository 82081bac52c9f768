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

// schedules returns the number of random schedules that a test runs.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return defaultSchedules
}

var poison = Fingerprint{0xff}

// fleet is some gateways whose upstreams crash when they run the poison.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	gateways []*Isolator
	zones    []string // of each gateway
	next     int      // number of the next upstream
	requests int
	lost     map[Upstream]bool
	byZone   map[string]int
	news     []message
	share    bool // news reach all gateways at once
}

// message is a finding on its way from one gateway to the others.
type message struct {
	from    int
	finding Finding
}

func newFleet(seed uint64, zones ...string) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    time.Unix(1000, 0),
		zones:  zones,
		lost:   map[Upstream]bool{},
		byZone: map[string]int{},
		share:  true,
	}
	for range zones {
		f.gateways = append(f.gateways, New())
	}
	return f
}

func (f *fleet) upstream(g int) Upstream {
	f.next++
	return Upstream{Name: fmt.Sprint("runner-", f.next), Zone: f.zones[g], Incarnation: 1}
}

// start sends a request as the verdict says; it is false when it may not run now.
func (f *fleet) start(g int, mark Fingerprint, u Upstream) (string, Upstream, bool) {
	v := f.gateways[g].Evaluate(f.now, mark)
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
	f.tell(g, f.gateways[g].Step(f.now, Started{RequestID: id, Fingerprint: mark, Upstream: u, Exclusive: v.Kind == VerdictExclusive}))
	return id, u, true
}

func (f *fleet) crash(u Upstream) {
	if f.lost[u] {
		return
	}
	f.lost[u] = true
	f.byZone[u.Zone]++
	for g, s := range f.gateways {
		f.tell(g, s.Step(f.now, Crashed{Upstream: u}))
	}
}

func (f *fleet) tell(from int, news []Effect) {
	for _, e := range news {
		f.news = append(f.news, message{from: from, finding: e.(Finding)})
	}
	if f.share {
		f.deliver()
	}
}

func (f *fleet) deliver() {
	for _, m := range f.news {
		for g, s := range f.gateways {
			if g != m.from {
				s.Step(f.now, PeerFinding{Finding: m.finding})
			}
		}
	}
	f.news = nil
}

func TestMatrix(t *testing.T) {
	t.Run("crashing-request/resend/one-gateway", resentToOneGateway)
	t.Run("crashing-request/resend/news-delayed", resentBeforeNews)
	t.Run("crashing-request/resend/all-zones", resentEverywhere)
	t.Run("crashing-request/batch/innocent-requests", innocentRequests)
	t.Run("crashing-request/trial/harmless-before", harmlessBefore)
}

// Guards against a caller that resends a poison until no upstream is left: one gateway loses at most 2.
func resentToOneGateway(t *testing.T) {
	for seed := range schedules() {
		f := newFleet(uint64(seed), "a")
		var running []Upstream
		for range 40 {
			f.now = f.now.Add(time.Duration(f.random.IntN(10)) * time.Second)
			if f.random.IntN(2) == 0 {
				if _, u, ok := f.start(0, poison, f.upstream(0)); ok {
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

// Guards against more than gateways + 1 losses in an availability zone when the news of crashes is late.
func resentBeforeNews(t *testing.T) {
	for seed := range schedules() {
		f := newFleet(uint64(seed), "a", "a", "a")
		f.share = false
		var running []Upstream
		for g := range f.gateways {
			if _, u, ok := f.start(g, poison, f.upstream(g)); ok {
				running = append(running, u)
			}
		}
		for _, u := range running {
			f.crash(u)
		}
		f.deliver()
		f.share = true
		verdict := f.gateways[0].Evaluate(f.now, poison).Kind
		assert.Assert(t, len(f.lost) < MaxLostUpstreams || verdict == VerdictRefuse, "seed %d: %s", seed, verdict)
		for range 20 {
			if _, u, ok := f.start(f.random.IntN(3), poison, f.upstream(0)); ok {
				f.crash(u)
			}
		}
		assert.Assert(t, f.byZone["a"] <= len(f.gateways)+1, "seed %d: %d lost", seed, f.byZone["a"])
	}
}

// Guards against a poison that is resent to one availability zone after the other.
func resentEverywhere(t *testing.T) {
	for seed := range schedules() {
		f := newFleet(uint64(seed), "a", "b", "c", "d")
		for range 60 {
			f.now = f.now.Add(time.Second)
			if _, u, ok := f.start(f.random.IntN(4), poison, f.upstream(0)); ok {
				f.crash(u)
			}
		}
		assert.Assert(t, len(f.lost) <= MaxLostUpstreams, "seed %d: %d lost", seed, len(f.lost))
		for zone, lost := range f.byZone {
			assert.Assert(t, lost <= 2, "seed %d: %d lost in %s", seed, lost, zone)
		}
	}
}

// Guards against permanent blame of requests that only shared a batch with the poison.
func innocentRequests(t *testing.T) {
	f := newFleet(1, "a")
	u := f.upstream(0)
	for i := range 8 {
		f.start(0, Fingerprint{byte(i)}, u)
	}
	f.start(0, poison, u)
	f.crash(u)
	for i := range 8 {
		mark := Fingerprint{byte(i)}
		assert.Equal(t, f.gateways[0].Evaluate(f.now, mark).Kind, VerdictExclusive)
		id, _, _ := f.start(0, mark, u)
		f.tell(0, f.gateways[0].Step(f.now, Ended{RequestID: id, Complete: true}))
		assert.Equal(t, f.gateways[0].Evaluate(f.now, mark).Kind, VerdictUnrestricted)
	}
	_, alone, _ := f.start(0, poison, u)
	f.crash(alone)
	verdict := f.gateways[0].Evaluate(f.now, poison)
	assert.Equal(t, verdict.Kind, VerdictRefuse)
	assert.Equal(t, verdict.RetryAfter, RefusalTTL)
	assert.Equal(t, f.gateways[0].Evaluate(f.now.Add(2*RefusalTTL), poison).Kind, VerdictUnrestricted)
}

// Guards against a request that completed before and is therefore never suspected.
func harmlessBefore(t *testing.T) {
	f := newFleet(1, "a")
	id, _, _ := f.start(0, poison, f.upstream(0))
	f.tell(0, f.gateways[0].Step(f.now, Ended{RequestID: id, Complete: true}))
	for range 20 {
		if _, u, ok := f.start(0, poison, f.upstream(0)); ok {
			f.crash(u)
		}
	}
	assert.Assert(t, len(f.lost) <= MaxLostUpstreams, "%d lost", len(f.lost))
}
