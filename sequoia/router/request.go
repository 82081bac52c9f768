package router

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Upstream identifies one incarnation of an upstream.
type Upstream = estimator.Upstream

// Digest identifies the prefix of a prompt that ends with one block of BlockTokens tokens.
type Digest = estimator.Digest

// BlockTokens is the number of prompt tokens in a block.
const BlockTokens = 64

// Hop is a process that has handled a request.
type Hop struct {
	Zone string
	VM   string
}

// MaxHops is the maximum length of the hop record of an accepted request.
const MaxHops = 2

// Request describes a request to be routed.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Model        string
	Rank         int // index in the configuration document, 0 for the most urgent
	PromptTokens int
	PromptBytes  int           // bytes sent when forwarding; 0 to estimate from PromptTokens
	Prefix       []Digest      // one digest per complete block, first block first
	AllowedZones []string      // availability zones that residency allows; empty means none
	Hops         []Hop         // processes that forwarded the request, in order
	LocalWait    time.Duration // expected admission wait in this availability zone
	Exclusive    bool          // must not share an upstream with other requests of this process
	Excluded     []string      // upstreams on which this request already failed
}

// Kind is the kind of a choice.
type Kind string

// Kinds of choices.
const (
	KindUpstream Kind = "upstream"
	KindForward  Kind = "forward"
	KindNone     Kind = "none"
)

// Reason is the reason for a choice.
type Reason string

// Reasons for choices.
const (
	ReasonFastest            Reason = "fastest"          // shortest expected time to first token
	ReasonPrefixHit          Reason = "prefix-hit"       // fastest because of prefix cache hits
	ReasonAffinity           Reason = "affinity"         // preferred upstream of the prefix, within the load bound
	ReasonRemoteFaster       Reason = "remote-wins"      // another availability zone is faster by more than the margin
	ReasonNoLocalUpstream    Reason = "no-upstream-here" // no upstream in this availability zone passes the filters
	ReasonNoAllowedZone      Reason = "no-allowed-zone"  // residency allows no known availability zone
	ReasonNoUpstreamForModel Reason = "no-upstream-for-model"
	ReasonNoHealthyUpstream  Reason = "no-healthy-upstream" // all upstreams of the model are draining, suspect or reserved
	// ReasonHopLimit is used when the request could only be forwarded and its hop record is full.
	ReasonHopLimit Reason = "hop-limit"
	// ReasonNoIdleUpstream is used when the request needs an upstream for itself and none is idle yet.
	ReasonNoIdleUpstream Reason = "no-idle-upstream"
)

// Choice is the result of routing a request.
type Choice struct {
	Kind        Kind
	Upstream    Upstream // set if Kind is KindUpstream
	Zone        string   // set if Kind is KindForward
	Reason      Reason
	RetryAfter  time.Duration // set if Kind is KindNone
	Explanation Explanation
}

// Explanation holds the estimates behind a choice, for diagnosis by operators.
type Explanation struct {
	HitTokens         int           // prompt tokens expected in the prefix cache of the selected upstream
	FirstToken        time.Duration // expected time to first token
	Prefill           time.Duration // part of FirstToken after the request got a slot
	LocalTime         time.Duration // best expected time in this availability zone, admission wait included
	RemoteTime        time.Duration // best expected time in another zone, network costs included
	RemoteZone        string        // availability zone of RemoteTime
	Candidates        int           // upstreams that passed the hard filters
	ExcludedResidency int           // upstreams excluded by residency
	ExcludedModel     int           // upstreams excluded because they do not serve the model
	ExcludedDraining  int           // upstreams excluded because they are draining
	ExcludedSuspect   int           // upstreams excluded because they are suspect
	ExcludedReserved  int           // upstreams excluded because they are reserved for a suspected request
}
