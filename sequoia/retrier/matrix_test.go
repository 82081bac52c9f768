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

// scheduleCount returns the number of random schedules per test.
func scheduleCount() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return defaultSchedules
}

func TestMatrix(t *testing.T) {
	t.Run("retries/decide/outcome-unknown", noDuplicateExecution)
	t.Run("retries/budget/total-outage", processBudgetBoundsRetries)
	t.Run("retries/fleet-budget/total-outage", fleetBudgetBoundsRetries)
	t.Run("retries/backoff/synchronised-failures", backoffHasFullJitter)
}

// noDuplicateExecution checks that a request is not retried if it may have run, or if the caller received a part of the
// answer.
func noDuplicateExecution(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	allowed := 0
	for range scheduleCount() {
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

// processBudgetBoundsRetries checks that retries do not multiply the load during an outage.
func processBudgetBoundsRetries(t *testing.T) {
	for seed := range scheduleCount() {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		r := New(Config{FleetRatio: 1}) // so that only the process budget applies
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

// fleetBudgetBoundsRetries checks that the fleet stays within its budget when every gateway is within its own: many
// idle gateways use their burst at the same time.
func fleetBudgetBoundsRetries(t *testing.T) {
	const gateways = 40
	for seed := range scheduleCount() / 10 {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		var fleet []*Retrier
		for range gateways {
			fleet = append(fleet, New(Config{}))
		}
		now := time.Unix(100, 0)
		sendInitialReports(fleet, now)
		requests, retries := failRequests(fleet, now, random)
		bound := DefaultFleetRatio*float64(requests) + DefaultBurst
		assert.Assert(t, float64(retries) <= bound, "seed %d: %d retries of %d requests", seed, retries, requests)
	}
}

// sendInitialReports sends the first report of each retrier, which the others use as the baseline.
func sendInitialReports(fleet []*Retrier, now time.Time) {
	for i := range fleet {
		for k := range fleet {
			if k != i {
				fleet[k].Step(now, FleetReport{VM: fmt.Sprint(i)})
			}
		}
	}
}

// failRequests fails requests on random retriers and reports the totals to the others after each one.
func failRequests(fleet []*Retrier, now time.Time, random *rand.Rand) (requests, retries uint64) {
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

// backoffHasFullJitter checks that synchronised failures are not retried at the same moment, and that the backoff is
// bounded.
func backoffHasFullJitter(t *testing.T) {
	r := New(Config{MaxAttempts: 40})
	for attempt := 1; attempt < 40; attempt++ {
		bound := min(DefaultBaseBackoff<<min(attempt-1, 16), DefaultMaxBackoff)
		for _, random := range []float64{0, 0.25, 0.5, 0.999} {
			after := r.backoff(Failure{Attempt: attempt}, random)
			assert.Equal(t, after, time.Duration(random*float64(bound)), "attempt %d", attempt)
		}
	}
}
