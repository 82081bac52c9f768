package main

import (
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/restrictor"
	"sequoiaspread.example/sequoia/router"
)

const (
	headerRank           = "Sequoia-Rank"
	headerResidency      = "Sequoia-Residency"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEvent      = "Last-Event-Id"
)

// callerRequest is the state of one request of a caller, from its arrival to the end of its response.
type callerRequest struct {
	id            string
	received      time.Time
	env           *environment
	organisation  parser.Organisation
	service       parser.Service
	pool          parser.Pool
	rank          int
	subject       restrictor.Subject
	authorisation string
	hops          []hop
	trace         traceContext

	method      string
	path        string
	query       string
	contentType string
	accept      string
	body        []byte

	model        string
	stream       bool
	maxTokens    int
	fingerprint  isolator.Fingerprint
	promptTokens int
	prefix       []router.Digest
	// outputTokens is set when the response is complete.
	outputTokens int

	idempotent bool
	// localOnly is set while this gateway holds the permit for an idempotency key, because a permit cannot be
	// transferred.
	localOnly      bool
	idempotencyKey string
	keyStatus      classifier.KeyStatus
}

// declaredRank returns the rank of the request as declared in the document.
func (req *callerRequest) declaredRank() parser.Rank {
	return req.env.doc.Ranks[req.rank]
}

// firstByteTimeout returns the maximum inactivity before the first byte; 0 means that only the service timeout applies.
// A response that isn't streamed has no byte before its last token, so its duration cannot be predicted without a token
// limit.
func (req *callerRequest) firstByteTimeout() time.Duration {
	timeout := max(inactivityTimeout, firstTokenFactor*req.declaredRank().FirstTokenTarget.Duration)
	switch {
	case req.stream:
		return timeout
	case req.maxTokens > 0:
		return timeout + time.Duration(req.maxTokens)*bufferedTokenFactor*req.declaredRank().TokenIntervalTarget.Duration
	default:
		return 0
	}
}

// nextByteTimeout returns the maximum inactivity within a stream.
func (req *callerRequest) nextByteTimeout() time.Duration {
	return max(inactivityTimeout, inactivityIntervals*req.declaredRank().TokenIntervalTarget.Duration)
}

// upstreamHeader returns the headers of a call. The key of the organisation is sent to other gateways only.
func (req *callerRequest) upstreamHeader() http.Header {
	header := http.Header{}
	header.Set(headerRequestID, req.id)
	if req.contentType != "" {
		header.Set("Content-Type", req.contentType)
	}
	if req.accept != "" {
		header.Set("Accept", req.accept)
	}
	if req.idempotencyKey != "" {
		header.Set(headerIdempotencyKey, req.idempotencyKey)
	}
	req.trace.setHeaders(header)
	return header
}
