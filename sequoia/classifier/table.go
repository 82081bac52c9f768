package classifier

import "net/http"

// Cause is the cause of a failure and the name of the problem type.
type Cause string

// Causes found before a request is sent, and the withdrawal of residency afterwards.
const (
	CauseUnauthorised        Cause = "unauthorised"
	CauseBodyTooLarge        Cause = "body-too-large"
	CauseBodyIncomplete      Cause = "body-incomplete"
	CauseBodyTimeout         Cause = "body-timeout"
	CauseInvalidJSON         Cause = "invalid-json"
	CauseInvalidUTF8         Cause = "invalid-utf-8"
	CauseInvalidRequest      Cause = "invalid-request"
	CauseUnknownModel        Cause = "unknown-model"
	CauseUnknownService      Cause = "unknown-service"
	CauseUnknownRank         Cause = "unknown-rank"
	CauseNotFound            Cause = "not-found"
	CauseMethodNotAllowed    Cause = "method-not-allowed"
	CauseResidency           Cause = "residency"
	CauseMisdirected         Cause = "misdirected"
	CauseLoop                Cause = "loop"
	CauseHopLimit            Cause = "hop-limit"
	CauseNotReady            Cause = "not-ready"
	CauseStopping            Cause = "stopping"
	CauseSuspectRequest      Cause = "suspect-request"
	CauseSuspectTrial        Cause = "suspect-trial"
	CauseQueueFull           Cause = "queue-full"
	CauseWaitExceeded        Cause = "wait-exceeded"
	CauseShareExceeded       Cause = "share-exceeded"
	CauseNoUpstream          Cause = "no-upstream"
	CauseCancelledBeforeSend Cause = "cancelled-before-send"
	CauseResidencyWithdrawn  Cause = "residency-withdrawn"
)

// Causes from the idempotency key and idempotency record of a request.
const (
	CauseKeyMissing         Cause = "key-missing"
	CauseKeyInvalid         Cause = "key-invalid"
	CauseKeyRefused         Cause = "key-refused"
	CauseKeyConflict        Cause = "key-conflict"
	CauseKeyPending         Cause = "key-pending"
	CauseKeyUnknown         Cause = "key-unknown"
	CauseKeyExpired         Cause = "key-expired"
	CauseRecordsUnreachable Cause = "records-unreachable"
)

// Causes found while calling an upstream or another availability zone.
const (
	CauseConnectFailed      Cause = "connect-failed"
	CauseUpstreamRefused    Cause = "upstream-refused"
	CauseNoResponse         Cause = "no-response"
	CauseResponseTimeout    Cause = "response-timeout"
	CauseSilentConnection   Cause = "silent-connection"
	CauseUpstreamFailed     Cause = "upstream-failed"
	CauseAnswerTruncated    Cause = "answer-truncated"
	CauseAnswerTooLarge     Cause = "answer-too-large"
	CauseStreamInterrupted  Cause = "stream-interrupted"
	CauseCancelledAfterSend Cause = "cancelled-after-send"
	CauseInternal           Cause = "internal"
)

const (
	notRun  = OutcomeNotRun
	ran     = OutcomeRan
	unknown = OutcomeUnknown
)

// table is the only place that assigns outcomes to causes.
var table = []Entry{
	{CauseUnauthorised, http.StatusUnauthorized, notRun, false, false, "the organisation key is missing or not known"},
	{CauseBodyTooLarge, http.StatusRequestEntityTooLarge, notRun, false, true, "the body is larger than the limit"},
	{CauseBodyIncomplete, http.StatusBadRequest, notRun, false, false, "the body ended before its stated length"},
	{CauseBodyTimeout, http.StatusRequestTimeout, notRun, false, false, "the body did not arrive in time"},
	{CauseInvalidJSON, http.StatusBadRequest, notRun, false, true, "the body is not valid JSON"},
	{CauseInvalidUTF8, http.StatusBadRequest, notRun, false, true, "the body is not valid UTF-8"},
	{CauseInvalidRequest, http.StatusBadRequest, notRun, false, true, "the request is not valid"},
	{CauseUnknownModel, http.StatusNotFound, notRun, false, false, "no service offers the model"},
	{CauseUnknownService, http.StatusNotFound, notRun, false, false, "the service is not declared"},
	{CauseUnknownRank, http.StatusBadRequest, notRun, false, false, "the rank is not declared"},
	{CauseNotFound, http.StatusNotFound, notRun, false, true, "there is no such path"},
	{CauseMethodNotAllowed, http.StatusMethodNotAllowed, notRun, false, true, "the method is not allowed for the path"},
	{CauseResidency, http.StatusForbidden, notRun, false, false, "residency rules allow no place for the request"},
	{CauseMisdirected, http.StatusMisdirectedRequest, notRun, false, false, "residency rules do not allow the request in this availability zone"},
	{CauseLoop, http.StatusLoopDetected, notRun, false, false, "the request has already visited this availability zone"},
	{CauseHopLimit, http.StatusLoopDetected, notRun, false, false, "the request has been forwarded too often"},
	{CauseNotReady, http.StatusServiceUnavailable, notRun, true, false, "the gateway has no configuration yet"},
	{CauseStopping, http.StatusServiceUnavailable, notRun, true, false, "the gateway is stopping"},
	{CauseSuspectRequest, http.StatusUnprocessableEntity, notRun, false, false, "the request is suspected of crashing upstreams"},
	{CauseSuspectTrial, http.StatusServiceUnavailable, notRun, true, false, "a trial of the request is running"},
	{CauseQueueFull, http.StatusTooManyRequests, notRun, true, false, "the queue of the rank is full"},
	{CauseWaitExceeded, http.StatusServiceUnavailable, notRun, true, false, "the request waited longer than its rank allows"},
	{CauseShareExceeded, http.StatusTooManyRequests, notRun, true, false, "the organisation has used its share"},
	{CauseNoUpstream, http.StatusServiceUnavailable, notRun, true, false, "no upstream can take the request"},
	{CauseCancelledBeforeSend, statusCallerCancelled, notRun, false, false, "the caller left before the request was sent"},
	{CauseResidencyWithdrawn, http.StatusServiceUnavailable, unknown, false, false, "a new residency rule no longer allows the place where the request runs"},

	{CauseKeyMissing, http.StatusBadRequest, notRun, false, true, "the operation needs an Idempotency-Key"},
	{CauseKeyInvalid, http.StatusBadRequest, notRun, false, true, "the Idempotency-Key is not valid"},
	{CauseKeyRefused, http.StatusUnprocessableEntity, notRun, false, true, "the Idempotency-Key has not run and cannot be taken"},
	{CauseKeyConflict, http.StatusConflict, notRun, false, true, "the Idempotency-Key was used with another body"},
	{CauseKeyPending, http.StatusConflict, unknown, true, false, "an attempt with the Idempotency-Key is in progress"},
	{CauseKeyUnknown, http.StatusBadGateway, unknown, false, false, "whether the request ran cannot be determined; it will not be run again"},
	{CauseKeyExpired, http.StatusGone, unknown, false, false, "the record of the Idempotency-Key has expired"},
	{CauseRecordsUnreachable, http.StatusServiceUnavailable, notRun, true, false, "the booking records of the home availability zone cannot be reached"},

	{CauseConnectFailed, http.StatusBadGateway, notRun, true, false, "no connection to an upstream could be made"},
	{CauseUpstreamRefused, http.StatusServiceUnavailable, notRun, true, false, "the upstream refused the request without running it"},
	{CauseNoResponse, http.StatusBadGateway, unknown, false, false, "the connection to the upstream ended without a response"},
	{CauseResponseTimeout, http.StatusGatewayTimeout, unknown, false, false, "the upstream did not respond in time"},
	{CauseSilentConnection, http.StatusGatewayTimeout, unknown, false, false, "the connection to the upstream went silent"},
	{CauseUpstreamFailed, http.StatusBadGateway, unknown, false, false, "the upstream reported an error"},
	{CauseAnswerTruncated, http.StatusBadGateway, ran, false, false, "the answer of the upstream ended early"},
	{CauseAnswerTooLarge, http.StatusBadGateway, ran, false, false, "the answer of the upstream is larger than the limit"},
	{CauseStreamInterrupted, http.StatusBadGateway, ran, false, false, "the stream ended early and could not be resumed"},
	{CauseCancelledAfterSend, statusCallerCancelled, unknown, false, false, "the caller left after the request was sent"},
	{CauseInternal, http.StatusInternalServerError, unknown, false, false, "internal error"},
}
