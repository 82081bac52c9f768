package router

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Message is something learned about an upstream or an availability zone; Subject is its name.
type Message = estimator.Message

// Messages that the router shares with the estimator.
type (
	// Seen says that an upstream exists, what it serves and how many requests its batch holds.
	UpstreamAdded = estimator.UpstreamAdded
	// Report is the load that an upstream stated about itself.
	LoadReport = estimator.LoadReport
	// Sent says that this process sent a request.
	RequestSent = estimator.RequestSent
	// FirstToken says that the first token of a request sent here arrived.
	FirstToken = estimator.FirstToken
	// Finished says that a request sent here ended with a whole answer.
	RequestCompleted = estimator.RequestCompleted
	// Failed says that a request sent here ended without a whole answer.
	RequestFailed = estimator.RequestFailed
	// Peer is the number of requests that another VM stated to have on an upstream.
	PeerLoad = estimator.PeerLoad
	// Gone says that an upstream no longer exists.
	UpstreamRemoved = estimator.UpstreamRemoved
)

// CacheEvent lists blocks that the prefix cache of an upstream stored and removed; Sequence grows by one for each
// event, and a step of more than one is a gap.
type CacheEvent struct {
	Upstream Upstream
	Sequence uint64
	Stored   []Digest
	Removed  []Digest
	Cleared  bool // the cache was emptied before Stored
}

// Leaving says that an upstream takes no new work; it holds for this incarnation permanently.
type Draining struct {
	Upstream Upstream
}

// Suspect says that an upstream may have failed (Suspected) or works again.
type Suspect struct {
	Upstream  Upstream
	Suspected bool
}

// Reserved says that another VM keeps an upstream for one request alone, or no longer when RequestID is empty.
type Reserved struct {
	Upstream  Upstream
	RequestID string
}

// Limit sets the requests that an upstream may run at the same time.
type ConcurrencyLimit struct {
	Upstream Upstream
	Limit    int
}

// ZoneReport is the aggregate that a gateway of another availability zone stated at the time At.
type ZoneReport struct {
	Zone   string
	Region string
	At     time.Time
	Delay  time.Duration // measured one-way delay
	Loss   float64       // share of packets lost, 0 to 1
	Models []ZoneLoad
}

// ZoneLoad is the state of one model in another availability zone.
type ZoneLoad struct {
	Model       string
	Capacity    int             // requests that its upstreams may run at the same time
	Outstanding float64         // requests running or waiting there
	Waits       []time.Duration // expected wait for admission there, by rank
}

// ZoneLost says that an availability zone cannot be reached.
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
