package forecaster

import "time"

// Key identifies the demand for one model in one availability zone.
type Key struct {
	Model string
	Zone  string
}

// Message is an input of Forecaster.Step.
type Message interface{ message() }

// Demand is the mean demand since the previous Demand for the key, in tokens per second.
type Demand struct {
	Key
	Rate float64
}

// Capacity describes the upstreams of a key. PerUpstream is the throughput of one upstream in tokens per second, and
// ColdStart the measured duration of a cold start. MinUpstreams keeps the availability zone able to serve its callers
// when it is partitioned from the others; MaxUpstreams is unlimited when zero. LoadedUpstreams is how many serve the
// key now; the first desired count is never below it, since little demand has been observed by then.
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

// Effect is an action that a Forecaster requests.
type Effect interface{ effect() }

// DesiredReplicas is the number of upstreams that should have the model of a key loaded from now on.
type DesiredReplicas struct {
	Key
	Count int
}

func (DesiredReplicas) effect() {}
