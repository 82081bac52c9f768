package router

import (
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Upstream identifies one life of an upstream.
type Upstream = estimator.Upstream

// Digest identifies a prompt up to the end of one block of BlockTokens tokens.
type Digest = estimator.Digest

// BlockTokens is the number of prompt tokens that one digest covers.
const BlockTokens = 64

// Hop is one process that handled a request.
type Hop struct {
	Zone string
	VM   string
}

// MaxHops is the longest hop record with which a request is still accepted.
const MaxHops = 2

// Request is what routing needs to know about a request.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Model        string
	Rank         int // index in the document, 0 for the most urgent
	PromptTokens int
	PromptBytes  int           // bytes to send when forwarding; 0 means estimated from PromptTokens
	Prefix       []Digest      // one for each whole block of the prompt, first block first
	AllowedZones []string      // availability zones that residency allows; none means no place is allowed
	Hops         []Hop         // processes that forwarded the request, first one first
	LocalWait    time.Duration // expected wait for admission here
	Exclusive    bool          // must run on an upstream without other requests of this process
	Excluded     []string      // upstreams that already failed this request
}

// Kind says what a choice is.
type Kind string

// Kinds of choices.
const (
	KindUpstream Kind = "upstream"
	KindForward  Kind = "forward"
	KindNone     Kind = "none"
)

// Reason says why a choice was made.
type Reason string

// Reasons of choices.
const (
	ReasonFastest            Reason = "fastest"          // shortest expected time to first token
	ReasonPrefixHit          Reason = "prefix-hit"       // the prefix cache made it the fastest
	ReasonAffinity           Reason = "affinity"         // preferred for this prefix, within the load bound
	ReasonRemoteFaster       Reason = "remote-wins"      // another availability zone wins by more than the margin
	ReasonNoLocalUpstream    Reason = "no-upstream-here" // no upstream of this availability zone passes the filters
	ReasonNoAllowedZone      Reason = "no-allowed-zone"  // residency allows no availability zone that is known
	ReasonNoUpstreamForModel Reason = "no-upstream-for-model"
	ReasonNoHealthyUpstream  Reason = "no-healthy-upstream" // all upstreams of the model are leaving or suspect
	// ReasonHopLimit is used when only a forward is left and the hop record does not allow it.
	ReasonHopLimit Reason = "hop-limit"
	// ReasonNoIdle is used when the request must run alone and no upstream is idle yet.
	ReasonNoIdleUpstream Reason = "no-idle-upstream"
)

// Choice is where a request goes.
type Choice struct {
	Kind        Kind
	Upstream    Upstream // when Kind is KindUpstream
	Zone        string   // when Kind is KindForward
	Reason      Reason
	RetryAfter  time.Duration // when Kind is KindNone
	Explanation Explanation
}

// Explain holds the figures behind a choice, for an operator who asks why.
type Explanation struct {
	HitTokens         int           // prompt tokens expected in the prefix cache of the chosen upstream
	FirstToken        time.Duration // expected time to first token of the choice
	Prefill           time.Duration // of FirstToken, the part after the request has a slot
	LocalTime         time.Duration // best expected time in this availability zone, wait for admission included
	RemoteTime        time.Duration // best expected time elsewhere, price of crossing included
	RemoteZone        string        // availability zone of Remote
	Candidates        int           // upstreams that passed the hard filters
	ExcludedResidency int           // upstreams excluded by residency
	ExcludedModel     int           // upstreams excluded because they do not serve the model
	ExcludedDraining  int           // upstreams excluded because they are leaving
	ExcludedSuspect   int           // upstreams excluded because they are suspect
	ExcludedReserved  int           // upstreams excluded because a suspected request runs there alone
}
