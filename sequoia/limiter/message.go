package limiter

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Upstream identifies one life of an upstream.
type Upstream = estimator.Upstream

// Message is something observed about an upstream.
type Message interface {
	apply(*Limiter, time.Time)
}

// Seen says that an upstream exists and how many requests its batch holds.
type UpstreamAdded struct {
	Upstream   Upstream
	BatchLimit int
}

// Tokens says that Count tokens of one request arrived, Interval apart on average.
type Tokens struct {
	Upstream Upstream
	Interval time.Duration
	Count    int
}

// Load states the requests estimated to run on an upstream.
type Load struct {
	Upstream Upstream
	Running  float64
}

// Gone says that an upstream no longer exists.
type UpstreamRemoved struct {
	Upstream Upstream
}

// Effect is a decision about one upstream.
type Effect interface {
	Subject() Upstream
}

// Changed sets the requests that an upstream may run at the same time.
type Changed struct {
	Upstream Upstream
	Limit    int
}

// Slow says that an upstream misses the interval target even with few requests (Avoid), or is to be tried again.
type Slow struct {
	Upstream Upstream
	Avoid    bool
}

// Subject returns the upstream.
func (e Changed) Subject() Upstream { return e.Upstream }

// Subject returns the upstream.
func (e Slow) Subject() Upstream { return e.Upstream }
