package limiter

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Upstream identifies one incarnation of an upstream.
type Upstream = estimator.Upstream

// Message is an event about an upstream.
type Message interface {
	apply(*Limiter, time.Time)
}

// UpstreamAdded reports an upstream and its batch size, which is the maximum of its limit.
type UpstreamAdded struct {
	Upstream   Upstream
	BatchLimit int
}

// Tokens reports Count tokens of one request with a mean inter-token latency of Interval.
type Tokens struct {
	Upstream Upstream
	Interval time.Duration
	Count    int
}

// Load is the estimated number of requests running on an upstream.
type Load struct {
	Upstream Upstream
	Running  float64
}

// UpstreamRemoved reports that an upstream no longer exists.
type UpstreamRemoved struct {
	Upstream Upstream
}

// Effect is a decision about one upstream.
type Effect interface {
	Subject() Upstream
}

// Changed sets a new concurrency limit for an upstream.
type Changed struct {
	Upstream Upstream
	Limit    int
}

// Slow reports that an upstream misses the interval target even at the minimum limit (Avoid is true), or is to be
// probed.
type Slow struct {
	Upstream Upstream
	Avoid    bool
}

// Subject returns the upstream.
func (e Changed) Subject() Upstream { return e.Upstream }

// Subject returns the upstream.
func (e Slow) Subject() Upstream { return e.Upstream }
