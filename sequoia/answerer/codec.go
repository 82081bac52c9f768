package answerer

import (
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
)

// RequestInfo is the information that a caller's header gives about a request.
type RequestInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Timeout is how long the caller waits after the arrival of the request; 0 if the header does not say.
	Timeout         time.Duration
	Parts           []dispatcher.PromptPart
	MaxOutputTokens int
	// Tokens is the number of tokens that the request costs; 0 if the header does not say.
	Tokens int
	// LastEvent is the ID of the last event that the caller received of an interrupted stream.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of that stream.
	Resumes string
}

// SendOptions holds the information for an upstream that is added to the caller's header.
type SendOptions struct {
	// Instance is the ID of the only upstream incarnation that may run the request; empty if another VM chooses it.
	Instance  string
	Remaining time.Duration
	Rank      int
	// LastEvent is the ID of the event after which a stream is resumed.
	LastEvent string
	// ReplaceIdentity is set if the document defines organisations. Then the key of the caller and the name of its
	// organisation, as the caller sent them, are removed.
	ReplaceIdentity bool
	// Organisation is the name to send with ReplaceIdentity; empty if the request belongs to none or another VM chooses
	// the upstream.
	Organisation string
}

// ResponseInfo is the meaning of a response header.
type ResponseInfo struct {
	// NotRun means that the upstream stated that it did not run the request and never will.
	NotRun bool
	// Replaced means that another incarnation of the upstream responded, which does not run requests sent to its
	// predecessor.
	Replaced bool
	// NamesRequest means that the response carries the ID of its request.
	NamesRequest bool
	// FromUpstream means that the response carries the marker that upstreams set on their responses.
	FromUpstream bool
	// Limit is the rate limit that the upstream states.
	Limit dispatcher.RateLimit
	// Leaving means that the upstream states that it is leaving.
	Leaving bool
	// Wait is the time for which an upstream that refused a request wants no others; 0 if it states none.
	Wait time.Duration
}

// HeaderCodec reads and writes the header fields that callers and upstreams use.
type HeaderCodec interface {
	ParseRequest(header http.Header) RequestInfo
	// ParseKey reads the key of a caller; empty if there is none.
	ParseKey(header http.Header) string
	// PrepareRequest sets the fields of a send in a copy of the caller's header.
	PrepareRequest(header http.Header, options SendOptions)
	// MatchesID reports whether a response belongs to the request with the given ID.
	MatchesID(header http.Header, id string) bool
	ParseResponse(status int, header http.Header) ResponseInfo
	// SetChallenge writes that a request needs a key.
	SetChallenge(header http.Header)
	// SetRetryAfter writes the time after which a caller whose request has not run may retry.
	SetRetryAfter(header http.Header, after time.Duration)
}
