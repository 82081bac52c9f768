package dispatcher

import (
	"net/netip"
	"time"
)

// Upstream is one upstream VM as the platform lists it.
type Upstream struct {
	// ID names one life of the upstream.
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Leaving upstreams take no new requests.
	Leaving bool
	// Cold is how much longer the upstream stays cold, as of the list.
	Cold time.Duration
}

// Part is one part of a prompt; requests with equal beginnings have equal first parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	ID      string
	Service string
	Rank    int
	Parts   []PromptPart
	// Output is the largest number of tokens that the answer may have.
	MaxOutputTokens int
	// Left is the time until the answer is of no use.
	Remaining time.Duration
	// MayWait is set while a long read may still wait for another one to end.
	MayWait bool
}

// Member is one live entry VM of the region.
type Member struct {
	Name string
	Zone string
}

// Load is the report of an upstream about itself.
type Load struct {
	ID      string
	Running int
	Queued  int
}

// Limits are the bounds of one service that do not follow from its upstreams.
type Limits struct {
	Service string
	// Engine is set for services that run models in batches.
	Engine bool
	// ColdPerSecond is the number of requests that all entry VMs together may send to a cold upstream in a second.
	ColdPerSecond float64
}

// Result says how a request ended at an upstream.
type Result string

// Results of requests.
const (
	// ResultWhole means that the whole answer came.
	ResultComplete Result = "whole"
	// ResultRefused means that the upstream stated that it did not run the request.
	ResultRefused Result = "refused"
	// ResultGone means that another life of the upstream answers at its address.
	ResultReplaced Result = "gone"
	// ResultFailed means that the upstream answered with a failure or broke off.
	ResultFailed Result = "failed"
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable Result = "unreachable"
	// ResultLeft means that the caller gave up.
	ResultCancelled Result = "left"
)

// Reason says why no upstream was chosen.
type Reason string

// Reasons.
const (
	// ReasonNone is that of a choice that was made.
	ReasonNone Reason = ""
	// ReasonUnknown means that the service has no upstream here.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUnusable means that all upstreams are leaving, evacuated, cold or failing.
	ReasonNoUsableUpstream Reason = "no-usable-upstream"
	// ReasonReading means that the upstream for a long read is still at another one.
	ReasonPrefillBusy Reason = "reading"
	// ReasonFull means that all usable upstreams have as much work as they may have.
	ReasonFull Reason = "full"
)

// Choice is the upstream for a request; it counts as sent until End.
type Choice struct {
	Upstream Upstream
	Reason   Reason
	// Outstanding is the number of requests at the upstream, this one excluded.
	Outstanding int
	// Uncached is the number of prompt tokens that the upstream probably has to read.
	Uncached int
	// Considered is the number of upstreams that could take the request.
	Candidates int
}

// Usage sums the use of the upstreams of one service.
type Usage struct {
	Outstanding int
	Slots       int
	// Reading is the mean part of their time that upstreams spend on reading prompts.
	PrefillUtilisation float64
}

// unusable is the pressure on a service without a usable upstream.
const unusable = 1e6

// Pressure is near 0 for idle upstreams; from 1 on requests are late, because batches are full, prompts wait, or each
// token waits for the prompts of others.
func (u Usage) Pressure() float64 {
	if u.Slots == 0 {
		return unusable
	}
	return float64(u.Outstanding)/float64(u.Slots) + u.PrefillUtilisation
}
