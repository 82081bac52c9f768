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

// job is one request of a caller from its arrival to its answer.
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
	// outputTokens is set when the answer is whole.
	outputTokens int

	idempotent bool
	// localOnly is set while this gateway holds the permit of a key, which cannot be passed on.
	localOnly      bool
	idempotencyKey string
	keyStatus      classifier.KeyStatus
}

// rankOf returns the declared rank of the request.
func (req *callerRequest) declaredRank() parser.Rank {
	return req.env.doc.Ranks[req.rank]
}

// firstByteTimeout is how long an upstream may stay silent before the first byte; 0 means that only the time limit of
// the service applies. An answer that is not streamed has no byte before its last token, and without a limit of tokens
// its time cannot be told.
func (req *callerRequest) firstByteTimeout() time.Duration {
	first := max(inactivityTimeout, firstTokenFactor*req.declaredRank().FirstTokenTarget.Duration)
	switch {
	case req.stream:
		return first
	case req.maxTokens > 0:
		return first + time.Duration(req.maxTokens)*bufferedTokenFactor*req.declaredRank().TokenIntervalTarget.Duration
	default:
		return 0
	}
}

// nextByteTimeout is how long an upstream may stay silent within a stream.
func (req *callerRequest) nextByteTimeout() time.Duration {
	return max(inactivityTimeout, inactivityIntervals*req.declaredRank().TokenIntervalTarget.Duration)
}

// upstreamHeader returns the headers of a call; the organisation key goes to other gateways only.
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
