package answerer

import (
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
)

// Description is what a caller states about a request.
type RequestInfo struct {
	// ID names one attempt of the caller.
	ID string
	// Patience is how long the caller waits, from the arrival of the request; 0 when it is not stated.
	Timeout         time.Duration
	Parts           []dispatcher.PromptPart
	MaxOutputTokens int
	// LastEvent is the id of the last event that the caller has of a broken stream.
	LastEvent string
}

// Send is what an upstream is told beside the caller's request.
type SendOptions struct {
	// Instance names the only life of an upstream that may run the request; empty when another VM chooses it.
	Instance  string
	Remaining time.Duration
	Rank      int
	// LastEvent is set when a stream is continued.
	LastEvent string
}

// Verdict says what the header of a response means.
type ResponseInfo struct {
	// NotRun means that the upstream stated that it did not run the request and never will.
	NotRun bool
	// Gone means that another life of the upstream answered, which does not run what was sent to the former.
	Replaced bool
	// Genuine means that the response carries the mark that upstreams put on their answers.
	FromUpstream bool
}

// Translator knows how callers and upstreams state these things in header fields.
type HeaderCodec interface {
	ParseRequest(header http.Header) RequestInfo
	// Prepare sets the fields of a send in a copy of the caller's header.
	PrepareRequest(header http.Header, send SendOptions)
	// Belongs reports whether a response answers the request with an id.
	MatchesID(header http.Header, id string) bool
	ParseResponse(status int, header http.Header) ResponseInfo
	// Refuse writes when a caller whose request has not run may come back.
	SetRetryAfter(header http.Header, after time.Duration)
}
