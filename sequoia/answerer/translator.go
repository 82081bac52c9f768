package answerer

import (
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
)

// Description is what a caller states about a request.
type Description struct {
	// ID names one attempt of the caller.
	ID string
	// Patience is how long the caller waits, from the arrival of the request; 0 when it is not stated.
	Patience time.Duration
	Parts    []dispatcher.Part
	Output   int
	// LastEvent is the id of the last event that the caller has of a broken stream.
	LastEvent string
}

// Send is what an upstream is told beside the caller's request.
type Send struct {
	// Instance names the only life of an upstream that may run the request; empty when another VM chooses it.
	Instance string
	Left     time.Duration
	Rank     int
	// LastEvent is set when a stream is continued.
	LastEvent string
}

// Verdict says what the header of a response means.
type Verdict struct {
	// NotRun means that the upstream stated that it did not run the request and never will.
	NotRun bool
	// Gone means that another life of the upstream answered, which does not run what was sent to the former.
	Gone bool
	// Genuine means that the response carries the mark that upstreams put on their answers.
	Genuine bool
}

// Translator knows how callers and upstreams state these things in header fields.
type Translator interface {
	Describe(header http.Header) Description
	// Prepare sets the fields of a send in a copy of the caller's header.
	Prepare(header http.Header, send Send)
	// Belongs reports whether a response answers the request with an id.
	Belongs(header http.Header, id string) bool
	Judge(status int, header http.Header) Verdict
	// Refuse writes when a caller whose request has not run may come back.
	Refuse(header http.Header, after time.Duration)
}
