package retrier

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

func TestMatrix(t *testing.T) {
	t.Run("retries/decide/outcome-unknown", neverTwice)
	t.Run("retries/budget/total-outage", processBudget)
	t.Run("retries/fleet-budget/total-outage", fleetBudget)
	t.Run("retries/backoff/synchronised-failures", backoffSpreads)
}

// Guards against a retry of what may have run, or of what the caller received a part of.
func neverTwice(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	allowed := 0
	for range schedules() {
		r := New(Config{})
		for range 20 {
			f := Failure{
				Outcome:        []Outcome{OutcomeNotRun, OutcomeRan, OutcomeUnknown}[random.IntN(3)],
				Idempotent:     random.IntN(2) == 0,
				BytesDelivered: random.IntN(3) == 0,
				Attempt:        1 + random.IntN(4),
				RetryAfter:     time.Duration(random.IntN(2)) * time.Second,
				Deadline:       time.Unix(101, 0),
			}
			d := r.Decide(time.Unix(100, 0), f, random.Float64())
			if !d.Retry {
				assert.Assert(t, d.Reason != ReasonAllowed)
				continue
			}
			allowed++
			assert.Assert(t, !f.BytesDelivered && f.Attempt < DefaultMaxAttempts, "%+v", f)
			assert.Assert(t, f.Outcome == OutcomeNotRun || f.Idempotent, "%+v", f)
			assert.Assert(t, d.After >= f.RetryAfter && d.After <= time.Second, "%+v %+v", f, d)
		}
	}
	assert.Assert(t, allowed > 0)
}

// Guards against retries that multiply the load of an outage.
func processBudget(t *testing.T) {
	for seed := range schedules() {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		r := New(Config{FleetRatio: 1}) // so that only the budget of the process binds
		now := time.Unix(100, 0)
		for range 300 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			r.Step(now, Started{})
			r.Decide(now, Failure{Outcome: OutcomeNotRun, Attempt: 1}, random.Float64())
		}
		total := r.Totals()
		bound := DefaultRatio*float64(total.Requests) + DefaultBurst
		assert.Assert(t, float64(total.Retries) <= bound, "seed %d: %+v", seed, total)
		assert.Assert(t, total.Retries >= uint64(DefaultBurst))
	}
}

// Guards against gateways that each stay within their own budget while the fleet as a whole exceeds its own: here
// many idle ones use their burst at the same time.
func fleetBudget(t *testing.T) {
	const gateways = 40
	for seed := range schedules() / 10 {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		var fleet []*Retrier
		for range gateways {
			fleet = append(fleet, New(Config{}))
		}
		now := time.Unix(100, 0)
		greet(fleet, now)
		requests, retries := exchange(fleet, now, random)
		bound := DefaultFleetRatio*float64(requests) + DefaultBurst
		assert.Assert(t, float64(retries) <= bound, "seed %d: %d retries of %d requests", seed, retries, requests)
	}
}

// greet sends the first report of each retrier, from which the others count.
func greet(fleet []*Retrier, now time.Time) {
	for i := range fleet {
		for k := range fleet {
			if k != i {
				fleet[k].Step(now, FleetReport{VM: fmt.Sprint(i)})
			}
		}
	}
}

// exchange lets each retrier fail requests and tells the others after each of them.
func exchange(fleet []*Retrier, now time.Time, random *rand.Rand) (requests, retries uint64) {
	for range 200 {
		i := random.IntN(len(fleet))
		now = now.Add(10 * time.Millisecond)
		fleet[i].Step(now, Started{})
		fleet[i].Decide(now, Failure{Outcome: OutcomeNotRun, Attempt: 1}, random.Float64())
		for k := range fleet {
			if k != i {
				total := fleet[i].Totals()
				fleet[k].Step(now, FleetReport{VM: fmt.Sprint(i), Requests: total.Requests, Retries: total.Retries})
			}
		}
	}
	for _, r := range fleet {
		requests += r.Totals().Requests
		retries += r.Totals().Retries
	}
	return requests, retries
}

// Guards against retries of many callers that arrive at the same moment, and against a wait without bound.
func backoffSpreads(t *testing.T) {
	r := New(Config{MaxAttempts: 40})
	for attempt := 1; attempt < 40; attempt++ {
		bound := min(DefaultBaseBackoff<<min(attempt-1, 16), DefaultMaxBackoff)
		for _, random := range []float64{0, 0.25, 0.5, 0.999} {
			after := r.backoff(Failure{Attempt: attempt}, random)
			assert.Equal(t, after, time.Duration(random*float64(bound)), "attempt %d", attempt)
		}
	}
}
