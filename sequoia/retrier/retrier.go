package retrier

import "time"

// Outcome is whether a failed attempt has run.
type Outcome string

// Outcomes of an attempt, as sent to callers.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Config sets the retry budgets, the attempt limit and the backoff.
type Config struct {
	Ratio       float64       // retries per request of this process
	FleetRatio  float64       // retries per request of the whole fleet
	Burst       float64       // retries available at once after an idle period
	MaxAttempts int           // attempts per request, including the first
	BaseBackoff time.Duration // maximum backoff before the second attempt
	MaxBackoff  time.Duration // maximum backoff before any attempt
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
	BytesDelivered bool          // the caller has received a part of the answer
	Attempt        int           // 1 for the first attempt
	RetryAfter     time.Duration // delay requested by the upstream, 0 if none
	Deadline       time.Time     // zero if none
}

// Reason is the reason for a decision.
type Reason string

// Reasons for decisions.
const (
	ReasonAllowed           Reason = "allowed"
	ReasonMayHaveRun        Reason = "may-have-run"
	ReasonBytesDelivered    Reason = "bytes-delivered"
	ReasonAttemptsExhausted Reason = "attempts-used"
	ReasonProcessBudget     Reason = "process-budget"
	ReasonFleetBudget       Reason = "fleet-budget"
	ReasonDeadlinePassed    Reason = "deadline"
)

// Decision is whether to retry, and after which delay.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// Message is an event that changes the retry budgets.
type Message interface {
	apply(*Retrier, time.Time)
}

// Started reports that this process sent the first attempt of a request.
type Started struct{}

// FleetReport is the number of requests and retries of another VM since it started. The first report of a VM is the
// baseline for later ones, so each VM reports when it starts.
type FleetReport struct {
	VM       string
	Requests uint64
	Retries  uint64
}

// Totals is the number of requests and retries of this process since it started, for reports to other VMs.
type Totals struct {
	Requests uint64
	Retries  uint64
}

// Retrier holds the retry budgets of one process. It is not safe for concurrent use.
type Retrier struct {
	config Config
	tokens float64
	totals Totals
	fleet  fleetWindow
}

// New returns a Retrier with a full budget.
func New(config Config) *Retrier {
	config = config.withDefaults()
	return &Retrier{config: config, tokens: config.Burst, fleet: newFleetWindow()}
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

// Step applies a message.
func (r *Retrier) Step(now time.Time, m Message) {
	m.apply(r, now)
}

// Totals returns the number of requests and retries of this process since it started.
func (r *Retrier) Totals() Totals {
	return r.totals
}

func (Started) apply(r *Retrier, now time.Time) {
	r.totals.Requests++
	r.tokens = min(r.tokens+r.config.Ratio, r.config.Burst)
	r.fleet.add(now, 1, 0)
}

func (m FleetReport) apply(r *Retrier, now time.Time) {
	r.fleet.report(now, m)
}

// Decide returns whether to retry a failed request. random must be uniform in [0, 1) and is used for the jitter.
func (r *Retrier) Decide(now time.Time, f Failure, random float64) Decision {
	if reason := r.denyReason(now, f); reason != "" {
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

// denyReason returns why a retry is denied, or "" if it is allowed.
func (r *Retrier) denyReason(now time.Time, f Failure) Reason {
	switch {
	case f.BytesDelivered:
		return ReasonBytesDelivered
	case f.Outcome != OutcomeNotRun && !f.Idempotent:
		return ReasonMayHaveRun
	case f.Attempt >= r.config.MaxAttempts:
		return ReasonAttemptsExhausted
	case r.tokens < 1:
		return ReasonProcessBudget
	case r.fleet.exceedsBudget(now, r.config):
		return ReasonFleetBudget
	}
	return ""
}

// backoff returns the delay requested by the upstream plus a random part of a bound that doubles with each attempt.
func (r *Retrier) backoff(f Failure, random float64) time.Duration {
	bound := r.config.BaseBackoff << min(max(f.Attempt-1, 0), 16)
	bound = min(bound, r.config.MaxBackoff)
	return f.RetryAfter + time.Duration(random*float64(bound))
}
