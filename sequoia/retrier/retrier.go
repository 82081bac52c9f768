package retrier

import "time"

// Outcome says whether a failed attempt ran.
type Outcome string

// Outcomes of an attempt, with the names that callers see.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Config bounds the retries.
type Config struct {
	Ratio       float64       // retries allowed for each request of this process
	FleetRatio  float64       // retries allowed for each request of the whole fleet
	Burst       float64       // retries that an idle process may make at once
	MaxAttempts int           // attempts of one request, the first included
	BaseBackoff time.Duration // longest wait before the second attempt
	MaxBackoff  time.Duration // longest wait before any attempt
}

// Defaults of Config.
const (
	DefaultRatio       = 0.1
	DefaultFleetRatio  = 0.1
	DefaultBurst       = 10.0
	DefaultMaxAttempts = 3
	DefaultBaseBackoff = 50 * time.Millisecond
	DefaultMaxBackoff  = 2 * time.Second
)

// Failure describes a failed attempt.
type Failure struct {
	Outcome        Outcome
	Idempotent     bool
	BytesDelivered bool          // the caller received a part of the answer
	Attempt        int           // 1 for the first attempt
	RetryAfter     time.Duration // wait that the upstream asked for, 0 when none
	Deadline       time.Time     // end of the request's time, zero when none
}

// Reason says why a retry is made or not.
type Reason string

// Reasons of decisions.
const (
	ReasonAllowed           Reason = "allowed"
	ReasonMayHaveRun        Reason = "may-have-run"
	ReasonBytesDelivered    Reason = "bytes-delivered"
	ReasonAttemptsExhausted Reason = "attempts-used"
	ReasonProcessBudget     Reason = "process-budget"
	ReasonFleetBudget       Reason = "fleet-budget"
	ReasonDeadlinePassed    Reason = "deadline"
)

// Decision says whether to send again, and after which wait.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// Message is something that changes the budgets.
type Message interface {
	budget(*Retrier, time.Time)
}

// Started says that this process sent the first attempt of a request.
type Started struct{}

// FleetReport is the number of requests and retries that another VM made since its start. The first report of a VM
// is the base from which later ones count, so each VM reports when it starts.
type FleetReport struct {
	VM       string
	Requests uint64
	Retries  uint64
}

// Totals are the requests and retries of this process since its start, for the reports to other VMs.
type Totals struct {
	Requests uint64
	Retries  uint64
}

// Retrier holds the retry budgets of one process.
type Retrier struct {
	config Config
	tokens float64
	totals Totals
	fleet  window
}

// New returns a retrier with a full budget.
func New(config Config) *Retrier {
	config = config.withDefaults()
	return &Retrier{config: config, tokens: config.Burst, fleet: newWindow()}
}

func (c Config) withDefaults() Config {
	if c.Ratio <= 0 {
		c.Ratio = DefaultRatio
	}
	if c.FleetRatio <= 0 {
		c.FleetRatio = DefaultFleetRatio
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.BaseBackoff <= 0 {
		c.BaseBackoff = DefaultBaseBackoff
	}
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	return c
}

// Step takes in one message.
func (r *Retrier) Step(now time.Time, m Message) {
	m.budget(r, now)
}

// Totals returns the requests and retries of this process since its start.
func (r *Retrier) Totals() Totals {
	return r.totals
}

func (Started) budget(r *Retrier, now time.Time) {
	r.totals.Requests++
	r.tokens = min(r.tokens+r.config.Ratio, r.config.Burst)
	r.fleet.add(now, 1, 0)
}

func (m FleetReport) budget(r *Retrier, now time.Time) {
	r.fleet.report(now, m)
}

// Decide returns whether to send a failed request again; random is uniform in [0, 1) and spreads the wait.
func (r *Retrier) Decide(now time.Time, f Failure, random float64) Decision {
	if reason := r.forbids(now, f); reason != "" {
		return Decision{Reason: reason}
	}
	after := r.backoff(f, random)
	if !f.Deadline.IsZero() && now.Add(after).After(f.Deadline) {
		return Decision{Reason: ReasonDeadlinePassed}
	}
	r.tokens--
	r.totals.Retries++
	r.fleet.add(now, 0, 1)
	return Decision{Retry: true, After: after, Reason: ReasonAllowed}
}

// forbids returns why a retry may not be made, or "".
func (r *Retrier) forbids(now time.Time, f Failure) Reason {
	switch {
	case f.BytesDelivered:
		return ReasonBytesDelivered
	case f.Outcome != OutcomeNotRun && !f.Idempotent:
		return ReasonMayHaveRun
	case f.Attempt >= r.config.MaxAttempts:
		return ReasonAttemptsExhausted
	case r.tokens < 1:
		return ReasonProcessBudget
	case r.fleet.exceeds(now, r.config):
		return ReasonFleetBudget
	}
	return ""
}

// backoff is a random part of a bound that doubles with each attempt, and at least what the upstream asked for.
func (r *Retrier) backoff(f Failure, random float64) time.Duration {
	bound := r.config.BaseBackoff << min(max(f.Attempt-1, 0), 16)
	bound = min(bound, r.config.MaxBackoff)
	return f.RetryAfter + time.Duration(random*float64(bound))
}
