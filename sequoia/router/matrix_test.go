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

// scheduleCount returns the number of random schedules per test.
func scheduleCount() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return defaultSchedules
}

// simulation applies random messages to a router and records what the checks compare its choices with.
type simulation struct {
	router       *Router
	random       *rand.Rand
	now          time.Time
	draining     map[Upstream]bool
	unreachable  map[string]bool
	lastReport   map[string]time.Time
	incarnations map[string]uint64
}

var (
	testZones = []string{"a", "b", "c"}
	testNames = []string{"runner-1", "runner-2", "runner-3"}
)

func newSimulation(seed uint64) *simulation {
	target := parser.Duration{Duration: 320 * time.Millisecond}
	ranks := []parser.Rank{{Name: "urgent", FirstTokenTarget: target}}
	return &simulation{
		router:       New(Config{Zone: "a", Region: "r", Ranks: ranks}),
		random:       rand.New(rand.NewPCG(seed, seed)),
		now:          time.Unix(1000, 0),
		draining:     map[Upstream]bool{},
		unreachable:  map[string]bool{},
		lastReport:   map[string]time.Time{},
		incarnations: map[string]uint64{},
	}
}

func (s *simulation) upstream() Upstream {
	name := testNames[s.random.IntN(len(testNames))]
	return Upstream{Name: name, Zone: "a", Incarnation: s.incarnations[name]}
}

// step applies one random event. Messages may be late or repeated.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(900)) * time.Millisecond)
	u := s.upstream()
	zone := testZones[1+s.random.IntN(2)]
	switch s.random.IntN(10) {
	case 0:
		s.incarnations[u.Name]++
		u.Incarnation = s.incarnations[u.Name]
		s.router.Step(s.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
	case 1:
		s.router.Step(s.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
	case 2:
		s.router.Step(s.now, LoadReport{Upstream: u, At: s.now, Running: s.random.IntN(6)})
	case 3:
		s.router.Step(s.now, Draining{Upstream: u})
		s.draining[u] = true
	case 4:
		s.router.Step(s.now, Suspect{Upstream: u, Suspected: s.random.IntN(2) == 0})
	case 5, 6:
		s.router.Step(s.now, ZoneReport{Zone: zone, At: s.now, Models: []ZoneLoad{{Model: "m", Capacity: 4}}})
		s.unreachable[zone] = false
		s.lastReport[zone] = s.now
	case 7:
		s.router.Step(s.now, ZoneUnreachable{Zone: zone})
		s.unreachable[zone] = true
	case 8:
		s.router.Tick(s.now)
	case 9:
		s.router.Step(s.now, UpstreamRemoved{Upstream: u})
	}
}

func (s *simulation) request() *Request {
	req := &Request{ID: fmt.Sprint(s.random.Int()), Model: "m", PromptTokens: 500, LocalWait: time.Duration(s.random.IntN(2)) * time.Minute}
	for _, zone := range testZones {
		if s.random.IntN(2) == 0 {
			req.AllowedZones = append(req.AllowedZones, zone)
		}
		if s.random.IntN(4) == 0 {
			req.Hops = append(req.Hops, Hop{Zone: zone})
		}
	}
	return req
}

// checkAllChoices runs the schedules and asserts a rule for every choice.
func checkAllChoices(t *testing.T, rule func(s *simulation, req *Request, c Choice) bool) {
	t.Helper()
	kinds := map[Kind]int{}
	for seed := range scheduleCount() {
		s := newSimulation(uint64(seed))
		for step := range 60 {
			s.step()
			req := s.request()
			c := s.router.Route(s.now, req)
			kinds[c.Kind]++
			assert.Assert(t, rule(s, req, c), "seed %d step %d: %+v for %+v", seed, step, c, req)
		}
	}
	assert.Assert(t, kinds[KindUpstream] > 0 && kinds[KindForward] > 0 && kinds[KindNone] > 0, "kinds %v", kinds)
}

func TestMatrix(t *testing.T) {
	// A draining incarnation must get no new requests, even if it is added or reports again.
	t.Run("leaving/route/seen-again", func(t *testing.T) {
		checkAllChoices(t, func(s *simulation, _ *Request, c Choice) bool {
			return c.Kind != KindUpstream || !s.draining[c.Upstream]
		})
	})
	// A choice must stay within the allowed availability zones, even if all of them are unreachable.
	t.Run("residency/route/zones-lost", func(t *testing.T) {
		checkAllChoices(t, func(_ *simulation, req *Request, c Choice) bool {
			switch c.Kind {
			case KindUpstream:
				return slices.Contains(req.AllowedZones, c.Upstream.Zone)
			case KindForward:
				return slices.Contains(req.AllowedZones, c.Zone)
			}
			return c.Reason != ""
		})
	})
	// A request must not be forwarded to a zone that already handled it, or with a full hop record.
	t.Run("no-loops/route/stale-zone-report", func(t *testing.T) {
		checkAllChoices(t, func(_ *simulation, req *Request, c Choice) bool {
			seen := slices.ContainsFunc(req.Hops, func(h Hop) bool { return h.Zone == c.Zone })
			return c.Kind != KindForward || (len(req.Hops) < MaxHops && !seen && c.Zone != "a")
		})
	})
	// A request must not be forwarded to a zone that is unreachable or has not reported for longer than ZoneTimeout.
	t.Run("cut-off/route/zone-lost", func(t *testing.T) {
		checkAllChoices(t, func(s *simulation, _ *Request, c Choice) bool {
			return c.Kind != KindForward || (!s.unreachable[c.Zone] && s.now.Sub(s.lastReport[c.Zone]) <= ZoneTimeout)
		})
	})
	t.Run("cut-off/own-callers/all-zones-lost", servesLocalCallersWhenPartitioned)
	t.Run("cut-off/return/cold-cache", forwardingRampsUp)
	t.Run("crashing-request/alone/busy-upstreams", exclusiveRequestRunsAlone)
}

// servesLocalCallersWhenPartitioned checks that a partitioned availability zone still serves what its own upstreams
// can.
func servesLocalCallersWhenPartitioned(t *testing.T) {
	for seed := range scheduleCount() {
		s := newSimulation(uint64(seed))
		for range 60 {
			s.step()
		}
		s.incarnations["runner-1"]++
		u := Upstream{Name: "runner-1", Zone: "a", Incarnation: s.incarnations["runner-1"]}
		s.router.Step(s.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
		s.router.Step(s.now, ZoneUnreachable{Zone: "b"})
		s.router.Step(s.now, ZoneUnreachable{Zone: "c"})
		c := s.router.Route(s.now, &Request{ID: "q", Model: "m", PromptTokens: 100, AllowedZones: testZones, LocalWait: time.Hour})
		assert.Equal(t, c.Kind, KindUpstream, "seed %d: %+v", seed, c)
	}
}

// forwardingRampsUp checks that traffic to a recovered availability zone grows by at most 10% per second, because its
// caches are cold.
func forwardingRampsUp(t *testing.T) {
	const perSecond = 100
	s := newSimulation(1)
	zoneReport := func() {
		s.router.Step(s.now, ZoneReport{Zone: "b", At: s.now, Models: []ZoneLoad{{Model: "m", Capacity: 10000}}})
	}
	zoneReport()
	s.router.Step(s.now, ZoneUnreachable{Zone: "b"})
	s.now = s.now.Add(time.Hour)
	for second := 1; second <= 12; second++ {
		forwards := 0
		for range perSecond {
			s.now = s.now.Add(time.Second / perSecond)
			zoneReport()
			c := s.router.Route(s.now, &Request{ID: "q", Model: "m", AllowedZones: []string{"b"}})
			if c.Kind == KindForward {
				forwards++
			}
		}
		assert.Assert(t, float64(forwards) <= RampPerSecond*float64(second)*perSecond+1, "second %d: %d", second, forwards)
		assert.Assert(t, second < 12 || forwards == perSecond)
	}
}

// exclusiveRequestRunsAlone checks that a suspected request does not share its upstream, and that it gets one even if
// all upstreams were busy at first.
func exclusiveRequestRunsAlone(t *testing.T) {
	s := newSimulation(1)
	for i, name := range testNames {
		u := Upstream{Name: name, Zone: "a", Incarnation: 1}
		s.router.Step(s.now, UpstreamAdded{Upstream: u, Models: []string{"m"}, BatchLimit: 4})
		s.router.Step(s.now, RequestSent{Upstream: u, RequestID: fmt.Sprint("busy-", i)})
	}
	suspect := &Request{ID: "s", Model: "m", AllowedZones: testZones, Exclusive: true}
	assert.Equal(t, s.router.Route(s.now, suspect).Reason, ReasonNoIdleUpstream)
	for i, name := range testNames {
		s.router.Step(s.now, RequestCompleted{Upstream: Upstream{Name: name, Zone: "a", Incarnation: 1}, RequestID: fmt.Sprint("busy-", i)})
	}
	exclusive := s.router.Route(s.now, suspect)
	assert.Equal(t, exclusive.Kind, KindUpstream)
	s.router.Step(s.now, RequestSent{Upstream: exclusive.Upstream, RequestID: "s"})
	for i := range 20 {
		c := s.router.Route(s.now, &Request{ID: fmt.Sprint(i), Model: "m", AllowedZones: testZones})
		assert.Assert(t, c.Upstream != exclusive.Upstream)
		s.router.Step(s.now, RequestSent{Upstream: c.Upstream, RequestID: fmt.Sprint(i)})
	}
	s.router.Step(s.now, RequestCompleted{Upstream: exclusive.Upstream, RequestID: "s"})
	assert.Equal(t, s.router.upstreams[0].reservedBy+s.router.upstreams[1].reservedBy+s.router.upstreams[2].reservedBy, "")
}
