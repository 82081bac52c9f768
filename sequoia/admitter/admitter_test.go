package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/parser"
)

func duration(d time.Duration) parser.Duration { return parser.Duration{Duration: d} }

func testConfig() Config {
	return Config{
		Ranks: []parser.Rank{
			{Name: "urgent", FirstTokenTarget: duration(320 * time.Millisecond), GuaranteedShare: 0.6, QueueLimit: 20, MaxWait: duration(time.Second)},
			{Name: "patient", FirstTokenTarget: duration(20 * time.Second), GuaranteedShare: 0.25, QueueLimit: 40, MaxWait: duration(time.Minute)},
		},
		Weights: map[string]float64{"large": 1, "small": 1},
	}
}

// simulation drives an admitter with requests that occupy a slot for one second.
type simulation struct {
	admitter   *Admitter
	now        time.Time
	lastID     int
	endsAtTick map[int][]string // requests that end at a tick
	tick       int
	admitted   map[string]int // by organisation
	ranks      [2]int
	refused    map[Reason]int
}

func newSimulation(slots float64) *simulation {
	s := &simulation{
		admitter:   New(testConfig()),
		now:        time.Unix(1000, 0),
		endsAtTick: map[int][]string{},
		admitted:   map[string]int{},
		refused:    map[Reason]int{},
	}
	s.applyEffects("", s.admitter.Step(s.now, Capacity{Slots: slots}))
	return s
}

func (s *simulation) applyEffects(_ string, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Admit:
			s.endsAtTick[s.tick+100] = append(s.endsAtTick[s.tick+100], e.RequestID)
			s.ranks[e.Rank]++
			var organisation string
			_, _ = fmt.Sscanf(e.RequestID, "%s", &organisation)
			s.admitted[organisation]++
		case Refuse:
			s.refused[e.Reason]++
		}
	}
}

func (s *simulation) request(organisation string, rank int) {
	s.lastID++
	id := fmt.Sprintf("%s %d", organisation, s.lastID)
	s.applyEffects(organisation, s.admitter.Step(s.now, AdmissionRequest{RequestID: id, Organisation: organisation, Rank: rank, Work: 100}))
}

// advance moves the clock by 10 ms.
func (s *simulation) advance() {
	s.tick++
	s.now = s.now.Add(10 * time.Millisecond)
	for _, id := range s.endsAtTick[s.tick] {
		s.applyEffects("", s.admitter.Step(s.now, Done{RequestID: id}))
	}
	delete(s.endsAtTick, s.tick)
	s.applyEffects("", s.admitter.Tick(s.now))
}

// Guards against a flood of either rank taking the guaranteed share of the other.
func TestGuaranteedShares(t *testing.T) {
	for flooding, other := range []int{1, 0} {
		s := newSimulation(40)
		random := rand.New(rand.NewPCG(1, 1))
		share := testConfig().Ranks[other].GuaranteedShare
		demanded := 0.0
		for range 6000 {
			for range 4 {
				s.request("large", flooding)
			}
			if random.Float64() < share*40/100 {
				s.request("small", other)
				demanded++
			}
			s.advance()
		}
		got := float64(s.ranks[other]) / min(demanded, share*40*60)
		assert.Assert(t, got >= 0.95, "rank %d got %.3f of its share", other, got)
	}
}

// Guards against a guaranteed share staying idle while another rank has queued requests.
func TestWorkConserving(t *testing.T) {
	for rank := range 2 {
		s := newSimulation(10)
		for range 30 {
			s.request("large", rank)
		}
		used := s.admitter.InFlight(rank)
		assert.Assert(t, used >= 9, "rank %d uses %d of 10", rank, used)
	}
}

// Guards against a large organisation taking more than its fair share of a rank.
func TestFairShareBetweenOrganisations(t *testing.T) {
	s := newSimulation(10)
	for range 3000 {
		s.request("large", 1)
		if s.tick%20 == 0 {
			s.request("small", 1)
		}
		s.advance()
	}
	assert.Assert(t, s.admitted["small"] >= 140, "%v", s.admitted)
}

// Guards against unbounded queues, and against refusals whose retry delay does not follow from the queue.
func TestBoundedQueueAndRetryTime(t *testing.T) {
	s := newSimulation(4)
	var last Refuse
	for i := range 500 {
		for _, e := range s.admitter.Step(s.now, AdmissionRequest{RequestID: fmt.Sprint(i), Organisation: "large", Rank: 1, Work: 100}) {
			if refuse, ok := e.(Refuse); ok {
				last = refuse
			}
		}
	}
	assert.Assert(t, s.admitter.Queued(1) <= 40)
	waits := s.admitter.ExpectedWaits(s.now)
	assert.Assert(t, last.RetryAfter >= minRetryAfter && last.RetryAfter < waits[1], "%+v %v", last, waits)
	assert.Assert(t, waits[1] > time.Second && waits[0] < waits[1], "%v", waits)
}

// Guards against a request waiting past its target, and against admitting a cancelled request.
func TestExpiryAndCancel(t *testing.T) {
	s := newSimulation(1)
	s.request("large", 0)
	s.admitter.Step(s.now, AdmissionRequest{RequestID: "late", Organisation: "small", Rank: 1, Work: 1})
	s.admitter.Step(s.now, AdmissionRequest{RequestID: "gone", Organisation: "small", Rank: 1, Work: 1})
	s.admitter.Step(s.now, Cancel{RequestID: "gone"})
	assert.Equal(t, s.admitter.Queued(1), 1)
	s.applyEffects("", s.admitter.Tick(s.now.Add(time.Minute)))
	assert.Equal(t, s.refused[ReasonWaitedTooLong], 1)
	assert.Equal(t, s.admitter.Queued(1), 0)
}

// Guards against immediate refusals while no capacity is known, as after a start or while all upstreams are suspect.
func TestQueuesUntilCapacityIsKnown(t *testing.T) {
	s := newSimulation(0)
	s.request("large", 0)
	s.request("large", 1)
	assert.Equal(t, s.admitter.Queued(0)+s.admitter.Queued(1), 2)
	s.applyEffects("", s.admitter.Step(s.now.Add(100*time.Millisecond), Capacity{Slots: 10}))
	assert.Equal(t, s.ranks, [2]int{1, 1})
	s = newSimulation(0)
	s.request("large", 0)
	s.applyEffects("", s.admitter.Tick(s.now.Add(time.Second)))
	assert.Equal(t, s.refused[ReasonNoCapacity], 1)
}
