package router

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/parser"
)

const defaultSchedules = 500

// schedules returns the number of random schedules that a test runs.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return defaultSchedules
}

// play runs random schedules of messages and decisions; check sees the state and each decision.
type play struct {
	router  *Router
	random  *rand.Rand
	now     time.Time
	leaving map[Upstream]bool
	lost    map[string]bool
	heard   map[string]time.Time
	life    map[string]uint64
}

var (
	testZones = []string{"a", "b", "c"}
	testNames = []string{"runner-1", "runner-2", "runner-3"}
)

func newPlay(seed uint64) *play {
	target := parser.Duration{Duration: 320 * time.Millisecond}
	ranks := []parser.Rank{{Name: "urgent", FirstTokenTarget: target}}
	return &play{
		router:  New(Config{Zone: "a", Region: "r", Ranks: ranks}),
		random:  rand.New(rand.NewPCG(seed, seed)),
		now:     time.Unix(1000, 0),
		leaving: map[Upstream]bool{},
		lost:    map[string]bool{},
		heard:   map[string]time.Time{},
		life:    map[string]uint64{},
	}
}

func (p *play) upstream() Upstream {
	name := testNames[p.random.IntN(len(testNames))]
	return Upstream{Name: name, Zone: "a", Incarnation: p.life[name]}
}

// step makes one random event; late and repeated messages are among them.
func (p *play) step() {
	p.now = p.now.Add(time.Duration(p.random.IntN(900)) * time.Millisecond)
	u := p.upstream()
	zone := testZones[1+p.random.IntN(2)]
	switch p.random.IntN(10) {
	case 0:
		p.life[u.Name]++
		u.Incarnation = p.life[u.Name]
		p.router.Step(p.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
	case 1:
		p.router.Step(p.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
	case 2:
		p.router.Step(p.now, LoadReport{Upstream: u, At: p.now, Running: p.random.IntN(6)})
	case 3:
		p.router.Step(p.now, Draining{Upstream: u})
		p.leaving[u] = true
	case 4:
		p.router.Step(p.now, Suspect{Upstream: u, Suspected: p.random.IntN(2) == 0})
	case 5, 6:
		p.router.Step(p.now, ZoneReport{Zone: zone, At: p.now, Models: []ZoneLoad{{Model: "m", Capacity: 4}}})
		p.lost[zone] = false
		p.heard[zone] = p.now
	case 7:
		p.router.Step(p.now, ZoneUnreachable{Zone: zone})
		p.lost[zone] = true
	case 8:
		p.router.Tick(p.now)
	case 9:
		p.router.Step(p.now, UpstreamRemoved{Upstream: u})
	}
}

func (p *play) request() *Request {
	q := &Request{ID: fmt.Sprint(p.random.Int()), Model: "m", PromptTokens: 500, LocalWait: time.Duration(p.random.IntN(2)) * time.Minute}
	for _, zone := range testZones {
		if p.random.IntN(2) == 0 {
			q.AllowedZones = append(q.AllowedZones, zone)
		}
		if p.random.IntN(4) == 0 {
			q.Hops = append(q.Hops, Hop{Zone: zone})
		}
	}
	return q
}

// always runs the schedules and asserts a rule for each decision.
func always(t *testing.T, rule func(p *play, q *Request, c Choice) bool) {
	t.Helper()
	kinds := map[Kind]int{}
	for seed := range schedules() {
		p := newPlay(uint64(seed))
		for step := range 60 {
			p.step()
			q := p.request()
			c := p.router.Route(p.now, q)
			kinds[c.Kind]++
			assert.Assert(t, rule(p, q, c), "seed %d step %d: %+v for %+v", seed, step, c, q)
		}
	}
	assert.Assert(t, kinds[KindUpstream] > 0 && kinds[KindForward] > 0 && kinds[KindNone] > 0, "kinds %v", kinds)
}

func TestMatrix(t *testing.T) {
	// Guards against new work for a leaving incarnation after it is seen or reports again.
	t.Run("leaving/route/seen-again", func(t *testing.T) {
		always(t, func(p *play, _ *Request, c Choice) bool {
			return c.Kind != KindUpstream || !p.leaving[c.Upstream]
		})
	})
	// Guards against a choice outside the allowed availability zones, also when all allowed ones are lost.
	t.Run("residency/route/zones-lost", func(t *testing.T) {
		always(t, func(_ *play, q *Request, c Choice) bool {
			switch c.Kind {
			case KindUpstream:
				return slices.Contains(q.AllowedZones, c.Upstream.Zone)
			case KindForward:
				return slices.Contains(q.AllowedZones, c.Zone)
			}
			return c.Reason != ""
		})
	})
	// Guards against a forward back to a place that handled the request, or with a full hop record.
	t.Run("no-loops/route/stale-zone-report", func(t *testing.T) {
		always(t, func(_ *play, q *Request, c Choice) bool {
			seen := slices.ContainsFunc(q.Hops, func(h Hop) bool { return h.Zone == c.Zone })
			return c.Kind != KindForward || (len(q.Hops) < MaxHops && !seen && c.Zone != "a")
		})
	})
	// Guards against forwards to an availability zone that is lost or silent for longer than ZoneTimeout.
	t.Run("cut-off/route/zone-lost", func(t *testing.T) {
		always(t, func(p *play, _ *Request, c Choice) bool {
			return c.Kind != KindForward || (!p.lost[c.Zone] && p.now.Sub(p.heard[c.Zone]) <= ZoneTimeout)
		})
	})
	t.Run("cut-off/own-callers/all-zones-lost", ownCallersServed)
	t.Run("cut-off/return/cold-cache", trafficReturnsGradually)
	t.Run("crashing-request/alone/busy-upstreams", aloneMeansAlone)
}

// Guards against a cut-off availability zone that refuses what its own upstreams can serve.
func ownCallersServed(t *testing.T) {
	for seed := range schedules() {
		p := newPlay(uint64(seed))
		for range 60 {
			p.step()
		}
		p.life["runner-1"]++
		u := Upstream{Name: "runner-1", Zone: "a", Incarnation: p.life["runner-1"]}
		p.router.Step(p.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
		p.router.Step(p.now, ZoneUnreachable{Zone: "b"})
		p.router.Step(p.now, ZoneUnreachable{Zone: "c"})
		c := p.router.Route(p.now, &Request{ID: "q", Model: "m", PromptTokens: 100, AllowedZones: testZones, LocalWait: time.Hour})
		assert.Equal(t, c.Kind, KindUpstream, "seed %d: %+v", seed, c)
	}
}

// Guards against more than 10% a second more of the traffic when an availability zone returns.
func trafficReturnsGradually(t *testing.T) {
	const perSecond = 100
	p := newPlay(1)
	zoneReport := func() {
		p.router.Step(p.now, ZoneReport{Zone: "b", At: p.now, Models: []ZoneLoad{{Model: "m", Capacity: 10000}}})
	}
	zoneReport()
	p.router.Step(p.now, ZoneUnreachable{Zone: "b"})
	p.now = p.now.Add(time.Hour)
	for second := 1; second <= 12; second++ {
		forwards := 0
		for range perSecond {
			p.now = p.now.Add(time.Second / perSecond)
			zoneReport()
			c := p.router.Route(p.now, &Request{ID: "q", Model: "m", AllowedZones: []string{"b"}})
			if c.Kind == KindForward {
				forwards++
			}
		}
		assert.Assert(t, float64(forwards) <= RampPerSecond*float64(second)*perSecond+1, "second %d: %d", second, forwards)
		assert.Assert(t, second < 12 || forwards == perSecond)
	}
}

// Guards against a suspected request that shares its upstream, and against one that never gets an upstream.
func aloneMeansAlone(t *testing.T) {
	p := newPlay(1)
	for i, name := range testNames {
		u := Upstream{Name: name, Zone: "a", Incarnation: 1}
		p.router.Step(p.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
		p.router.Step(p.now, RequestSent{Upstream: u, RequestID: fmt.Sprint("busy-", i)})
	}
	suspect := &Request{ID: "s", Model: "m", AllowedZones: testZones, Exclusive: true}
	assert.Equal(t, p.router.Route(p.now, suspect).Reason, ReasonNoIdleUpstream)
	for i, name := range testNames {
		p.router.Step(p.now, RequestCompleted{Upstream: Upstream{Name: name, Zone: "a", Incarnation: 1}, RequestID: fmt.Sprint("busy-", i)})
	}
	alone := p.router.Route(p.now, suspect)
	assert.Equal(t, alone.Kind, KindUpstream)
	p.router.Step(p.now, RequestSent{Upstream: alone.Upstream, RequestID: "s"})
	for i := range 20 {
		c := p.router.Route(p.now, &Request{ID: fmt.Sprint(i), Model: "m", AllowedZones: testZones})
		assert.Assert(t, c.Upstream != alone.Upstream)
		p.router.Step(p.now, RequestSent{Upstream: c.Upstream, RequestID: fmt.Sprint(i)})
	}
	p.router.Step(p.now, RequestCompleted{Upstream: alone.Upstream, RequestID: "s"})
	assert.Equal(t, p.router.rows[0].reservedBy+p.router.rows[1].reservedBy+p.router.rows[2].reservedBy, "")
}
