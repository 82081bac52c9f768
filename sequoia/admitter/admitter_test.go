package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/parser"
)

func span(d time.Duration) parser.Duration { return parser.Duration{Duration: d} }

func testConfig() Config {
	return Config{
		Ranks: []parser.Rank{
			{Name: "urgent", FirstTokenTarget: span(320 * time.Millisecond), GuaranteedShare: 0.6, QueueLimit: 20, MaxWait: span(time.Second)},
			{Name: "patient", FirstTokenTarget: span(20 * time.Second), GuaranteedShare: 0.25, QueueLimit: 40, MaxWait: span(time.Minute)},
		},
		Weights: map[string]float64{"large": 1, "small": 1},
	}
}

// bench drives an admitter with requests that hold a slot for a second.
type bench struct {
	admitter *Admitter
	now      time.Time
	next     int
	ends     map[int][]string // requests that end at a tick
	tick     int
	admitted map[string]int // by organisation
	ranks    [2]int
	refused  map[Reason]int
}

func newBench(slots float64) *bench {
	b := &bench{
		admitter: New(testConfig()),
		now:      time.Unix(1000, 0),
		ends:     map[int][]string{},
		admitted: map[string]int{},
		refused:  map[Reason]int{},
	}
	b.perform("", b.admitter.Step(b.now, Capacity{Slots: slots}))
	return b
}

func (b *bench) perform(_ string, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Admit:
			b.ends[b.tick+100] = append(b.ends[b.tick+100], e.RequestID)
			b.ranks[e.Rank]++
			var organisation string
			_, _ = fmt.Sscanf(e.RequestID, "%s", &organisation)
			b.admitted[organisation]++
		case Refuse:
			b.refused[e.Reason]++
		}
	}
}

func (b *bench) offer(organisation string, rank int) {
	b.next++
	id := fmt.Sprintf("%s %d", organisation, b.next)
	b.perform(organisation, b.admitter.Step(b.now, AdmissionRequest{RequestID: id, Organisation: organisation, Rank: rank, Work: 100}))
}

// advance moves the clock by 10 ms.
func (b *bench) advance() {
	b.tick++
	b.now = b.now.Add(10 * time.Millisecond)
	for _, id := range b.ends[b.tick] {
		b.perform("", b.admitter.Step(b.now, Done{RequestID: id}))
	}
	delete(b.ends, b.tick)
	b.perform("", b.admitter.Tick(b.now))
}

// Guards against a flood of either rank that takes the guaranteed share of the other one.
func TestGuaranteedShares(t *testing.T) {
	for flooding, other := range []int{1, 0} {
		b := newBench(40)
		random := rand.New(rand.NewPCG(1, 1))
		share := testConfig().Ranks[other].GuaranteedShare
		asked := 0.0
		for range 6000 {
			for range 4 {
				b.offer("large", flooding)
			}
			if random.Float64() < share*40/100 {
				b.offer("small", other)
				asked++
			}
			b.advance()
		}
		got := float64(b.ranks[other]) / min(asked, share*40*60)
		assert.Assert(t, got >= 0.95, "rank %d got %.3f of its share", other, got)
	}
}

// Guards against a share that is kept free although no rank needs it.
func TestWorkConserving(t *testing.T) {
	for rank := range 2 {
		b := newBench(10)
		for range 30 {
			b.offer("large", rank)
		}
		used := b.admitter.InFlight(rank)
		assert.Assert(t, used >= 9, "rank %d uses %d of 10", rank, used)
	}
}

// Guards against a large organisation that takes more than its fair share of a rank.
func TestFairBetweenOrganisations(t *testing.T) {
	b := newBench(10)
	for range 3000 {
		b.offer("large", 1)
		if b.tick%20 == 0 {
			b.offer("small", 1)
		}
		b.advance()
	}
	assert.Assert(t, b.admitted["small"] >= 140, "%v", b.admitted)
}

// Guards against queues that grow without bound, and against refusals without a retry time from the queue.
func TestBoundedQueueAndRetryTime(t *testing.T) {
	b := newBench(4)
	var last Refuse
	for i := range 500 {
		for _, e := range b.admitter.Step(b.now, AdmissionRequest{RequestID: fmt.Sprint(i), Organisation: "large", Rank: 1, Work: 100}) {
			if refuse, ok := e.(Refuse); ok {
				last = refuse
			}
		}
	}
	assert.Assert(t, b.admitter.Queued(1) <= 40)
	waits := b.admitter.ExpectedWaits(b.now)
	assert.Assert(t, last.RetryAfter >= leastRetry && last.RetryAfter < waits[1], "%+v %v", last, waits)
	assert.Assert(t, waits[1] > time.Second && waits[0] < waits[1], "%v", waits)
}

// Guards against a request that waits past its target, and against a slot for one that went away.
func TestExpiryAndWithdraw(t *testing.T) {
	b := newBench(1)
	b.offer("large", 0)
	b.admitter.Step(b.now, AdmissionRequest{RequestID: "late", Organisation: "small", Rank: 1, Work: 1})
	b.admitter.Step(b.now, AdmissionRequest{RequestID: "gone", Organisation: "small", Rank: 1, Work: 1})
	b.admitter.Step(b.now, Cancel{RequestID: "gone"})
	assert.Equal(t, b.admitter.Queued(1), 1)
	b.perform("", b.admitter.Tick(b.now.Add(time.Minute)))
	assert.Equal(t, b.refused[ReasonWaitedTooLong], 1)
	assert.Equal(t, b.admitter.Queued(1), 0)
}

// Guards against refusals at once while no capacity is known, as after a start or while all upstreams are suspect.
func TestWaitsForCapacity(t *testing.T) {
	b := newBench(0)
	b.offer("large", 0)
	b.offer("large", 1)
	assert.Equal(t, b.admitter.Queued(0)+b.admitter.Queued(1), 2)
	b.perform("", b.admitter.Step(b.now.Add(100*time.Millisecond), Capacity{Slots: 10}))
	assert.Equal(t, b.ranks, [2]int{1, 1})
	b = newBench(0)
	b.offer("large", 0)
	b.perform("", b.admitter.Tick(b.now.Add(time.Second)))
	assert.Equal(t, b.refused[ReasonNoCapacity], 1)
}
