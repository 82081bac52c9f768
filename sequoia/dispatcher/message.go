package dispatcher

import (
	"net/netip"
	"time"
)

// Upstream is one upstream VM as listed by the platform.
type Upstream struct {
	// ID identifies one incarnation of the upstream.
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is the version of the upstream's software. Versions have no order, and a stream goes on only at the version
	// that began it.
	Version string `json:",omitempty"`
	Slots   int
	// Leaving is set while the upstream drains and takes no new requests.
	Leaving bool
	// Cold is the remaining time for which the upstream stays cold, as of the listing.
	Cold time.Duration
}

// PromptPart is one part of a prompt; requests with a common prefix have equal first parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// VersionPin restricts a request to the upstreams of one software version, if it is set.
type VersionPin struct {
	Version string
	Set     bool
}

// PinTo returns a pin to a version.
func PinTo(version string) VersionPin {
	return VersionPin{Version: version, Set: true}
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	ID      string
	Service string
	Rank    int
	Parts   []PromptPart
	// MaxOutputTokens is the largest number of tokens that the answer may have.
	MaxOutputTokens int
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// MayWait is set while a long prefill may still wait for another one to finish.
	MayWait bool
	// Pin restricts a stream that goes on to the version that began it.
	Pin VersionPin
	// BeginsResumable is set for a stream that others may have to take up, and that is not pinned yet.
	BeginsResumable bool
	// ExcludedSenders are entry VMs that can't send this request.
	ExcludedSenders []string
}

// Member is one live entry VM of the region.
type Member struct {
	Name string
	Zone string
}

// Load is the load report of an upstream.
type Load struct {
	ID      string
	Running int
	Queued  int
	// Contact is how the report was received.
	Contact Contact
}

// Limits are the settings of one service that do not follow from its upstreams.
type Limits struct {
	Service string
	// Engine is set for services that run models in batches.
	Engine bool
	// ColdPerSecond is the number of requests per second that all entry VMs together may send to a cold upstream.
	ColdPerSecond float64
	// ColdTime is how long an upstream stays cold after its start, or 0 if that is not known. NeverCold is set for services
	// whose upstreams take full load from their start.
	ColdTime  time.Duration
	NeverCold bool
}

// Result is the outcome of a request at an upstream.
type Result string

// Results of requests.
const (
	// ResultComplete means that the complete answer was received.
	ResultComplete Result = "whole"
	// ResultRefused means that the upstream stated that it did not run the request.
	ResultRefused Result = "refused"
	// ResultReplaced means that another incarnation of the upstream responds at its address.
	ResultReplaced Result = "gone"
	// ResultFailed means that the upstream responded with a failure.
	ResultFailed Result = "failed"
	// ResultBroken means that the connection ended before the complete answer.
	ResultBroken Result = "broken"
	// ResultUnreachable means that no connection could be established.
	ResultUnreachable Result = "unreachable"
	// ResultCancelled means that the caller disconnected or the time was over.
	ResultCancelled Result = "left"
)

// Reason explains why no upstream was chosen.
type Reason string

// Reasons for a choice without an upstream.
const (
	// ReasonNone means that an upstream was chosen.
	ReasonNone Reason = ""
	// ReasonNoUpstream means that the service has no upstream in this region.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonNoVersion means that the service has no upstream of the version that began the stream in this region.
	ReasonNoVersion Reason = "no-upstream-of-version"
	// ReasonNewVersion means that all upstreams of the service in this region run versions that may not begin a stream yet.
	ReasonNewVersion Reason = "new-version"
	// ReasonNoUsableUpstream means that all upstreams are leaving, evacuated, cold, ejected or excluded, or asked for a
	// wait.
	ReasonNoUsableUpstream Reason = "no-usable-upstream"
	// ReasonPrefillBusy means that the upstream for a long prefill is still busy with another one.
	ReasonPrefillBusy Reason = "reading"
	// ReasonFull means that no usable upstream has capacity left or can answer before the deadline.
	ReasonFull Reason = "full"
)

// Choice is the upstream selected for a request; the request counts as sent until End.
type Choice struct {
	Upstream Upstream
	Reason   Reason
	// Outstanding is the number of requests at the upstream, excluding this one.
	Outstanding int
	// Uncached is the number of prompt tokens that the upstream is expected to prefill.
	Uncached int
	// Limited is set if the upstream gets requests below a rate limit only, as while it is cold or may be.
	Limited bool
	// Candidates is the number of compared upstreams that could take the request.
	Candidates int
	// AvailableIn is set with ReasonNoUsableUpstream and ReasonNewVersion: the time until an upstream may get requests, or 0
	// if that is unknown.
	AvailableIn time.Duration
}

// Usage is the aggregated load of the upstreams of one service.
type Usage struct {
	Outstanding int
	Slots       int
	// PrefillUtilisation is the mean share of time that the upstreams spend on prefill.
	PrefillUtilisation float64
	// Limited is set if there are upstreams with a rate limit besides; they are not counted above.
	Limited bool
}

const (
	// UnavailablePressure is the pressure of a service without a usable upstream.
	UnavailablePressure = 1e6
	// limitedPressure is the pressure of a service whose upstreams all have a rate limit: they take what has no better
	// place.
	limitedPressure = 1.0
)

// Pressure returns the load as a number near 0 for idle upstreams. From 1 on requests are late, because batches are
// full, prompts queue, or each token waits for the prefills of other requests.
func (u Usage) Pressure() float64 {
	switch {
	case u.Slots == 0 && u.Limited:
		return limitedPressure
	case u.Slots == 0:
		return UnavailablePressure
	}
	return float64(u.Outstanding)/float64(u.Slots) + u.PrefillUtilisation
}
