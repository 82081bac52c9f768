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
	headerRank      = "Sequoia-Rank"
	headerResidency = "Sequoia-Residency"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerLastEvent = "Last-Event-Id"
)

// job is one request of a caller from its arrival to its answer.
type job struct {
	id           string
	received     time.Time
	env          *environment
	organisation parser.Organisation
	service      parser.Service
	pool         parser.Pool
	rank         int
	subject      restrictor.Subject
	authority    string
	hops         []hop
	trace        traceContext

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
	localOnly bool
	key       string
	standing  classifier.KeyStatus
}

// rankOf returns the declared rank of the request.
func (j *job) rankOf() parser.Rank {
	return j.env.doc.Ranks[j.rank]
}

// firstByteTimeout is how long an upstream may stay silent before the first byte; 0 means that only the time limit of
// the service applies. An answer that is not streamed has no byte before its last token, and without a limit of tokens
// its time cannot be told.
func (j *job) firstByteTimeout() time.Duration {
	first := max(silenceTimeout, firstTokenSlack*j.rankOf().FirstTokenTarget.Duration)
	switch {
	case j.stream:
		return first
	case j.maxTokens > 0:
		return first + time.Duration(j.maxTokens)*wholeSlack*j.rankOf().TokenIntervalTarget.Duration
	default:
		return 0
	}
}

// nextByteTimeout is how long an upstream may stay silent within a stream.
func (j *job) nextByteTimeout() time.Duration {
	return max(silenceTimeout, silentIntervals*j.rankOf().TokenIntervalTarget.Duration)
}

// upstreamHeader returns the headers of a call; the organisation key goes to other gateways only.
func (j *job) upstreamHeader() http.Header {
	header := http.Header{}
	header.Set(headerRequestID, j.id)
	if j.contentType != "" {
		header.Set("Content-Type", j.contentType)
	}
	if j.accept != "" {
		header.Set("Accept", j.accept)
	}
	if j.key != "" {
		header.Set(headerKey, j.key)
	}
	j.trace.set(header)
	return header
}
