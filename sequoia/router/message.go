package router

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Message is an event about an upstream or an availability zone; Subject returns its name.
type Message = estimator.Message

// Messages shared with the estimator.
type (
	// UpstreamAdded reports an upstream, its models and its batch size.
	UpstreamAdded = estimator.UpstreamAdded
	// LoadReport is the load that an upstream reported.
	LoadReport = estimator.LoadReport
	// RequestSent reports a request sent by this process.
	RequestSent = estimator.RequestSent
	// FirstToken reports that the first token of a request of this process arrived.
	FirstToken = estimator.FirstToken
	// RequestCompleted reports that a request of this process ended with a complete answer.
	RequestCompleted = estimator.RequestCompleted
	// RequestFailed reports that a request of this process ended without a complete answer.
	RequestFailed = estimator.RequestFailed
	// PeerLoad is the number of requests that another VM reported to have in flight on an upstream.
	PeerLoad = estimator.PeerLoad
	// UpstreamRemoved reports that an upstream no longer exists.
	UpstreamRemoved = estimator.UpstreamRemoved
)

// CacheEvent lists blocks that the prefix cache of an upstream stored and evicted. Sequence increases by one per event;
// a larger step means that events were lost.
type CacheEvent struct {
	Upstream Upstream
	Sequence uint64
	Stored   []Digest
	Removed  []Digest
	Cleared  bool // the cache was emptied before Stored was added
}

// Draining reports that an upstream accepts no new requests, which is permanent for this incarnation.
type Draining struct {
	Upstream Upstream
}

// Suspect reports whether an upstream is suspected to have failed or has recovered.
type Suspect struct {
	Upstream  Upstream
	Suspected bool
}

// Reserved reports that another VM reserved an upstream for a single request, or released it if RequestID is empty.
type Reserved struct {
	Upstream  Upstream
	RequestID string
}

// ConcurrencyLimit sets the number of requests that an upstream may run concurrently.
type ConcurrencyLimit struct {
	Upstream Upstream
	Limit    int
}

// ZoneReport is the aggregated state of another availability zone, as reported by one of its gateways at the time At.
type ZoneReport struct {
	Zone   string
	Region string
	At     time.Time
	Delay  time.Duration // measured one-way delay
	Loss   float64       // packet loss ratio, 0 to 1
	Models []ZoneLoad
}

// ZoneLoad is the state of one model in another availability zone.
type ZoneLoad struct {
	Model       string
	Capacity    int             // concurrent requests that its upstreams may run
	Outstanding float64         // requests running or queued
	Waits       []time.Duration // expected admission wait, by rank
}

// ZoneUnreachable reports that an availability zone cannot be reached.
type ZoneUnreachable struct {
	Zone string
}

// Subject returns the name of the upstream.
func (m CacheEvent) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m Draining) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m Suspect) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m Reserved) Subject() string { return m.Upstream.Name }

// Subject returns the name of the upstream.
func (m ConcurrencyLimit) Subject() string { return m.Upstream.Name }

// Subject returns the name of the availability zone.
func (m ZoneReport) Subject() string { return m.Zone }

// Subject returns the name of the availability zone.
func (m ZoneUnreachable) Subject() string { return m.Zone }
