package forecaster

import "time"

// Key names the demand for one model in one availability zone.
type Key struct {
	Model string
	Zone  string
}

// Message is what a Forecaster can be told.
type Message interface{ message() }

// Demand is the work that arrived since the last Demand for the key, in tokens per second.
type Demand struct {
	Key
	Rate float64
}

// Supply says what one upstream can do, in tokens per second, how long its cold start was measured to take, and how many
// upstreams the availability zone keeps at least, so that it can serve its callers when it is cut off. Loaded is how many
// serve the key now; the first need is never below it, since little demand has been seen by then.
type Capacity struct {
	Key
	PerUpstream     float64
	ColdStart       time.Duration
	MinUpstreams    int
	MaxUpstreams    int
	LoadedUpstreams int
}

func (Demand) message()   {}
func (Capacity) message() {}

// Effect is what a Forecaster asks its owner to do.
type Effect interface{ effect() }

// Need says how many upstreams should be loaded for a key from now on.
type DesiredReplicas struct {
	Key
	Count int
}

func (DesiredReplicas) effect() {}
