package answerer

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/lessee"
)

// Header fields between entry VMs.
const (
	// headerOutcome is set on responses that the VM which a request was forwarded to generated itself, as opposed to
	// those of upstreams.
	headerOutcome = "Sequoia-Outcome"
	outcomeNotRun = "not-run"
	outcomeOther  = "other"
	// headerReason holds in a refusal of a forwarded request why it has not run.
	headerReason = "Sequoia-Reason"
	// headerAttempts holds the number of upstreams that a forwarded request may still be sent to, in requests and
	// responses.
	headerAttempts = "Sequoia-Attempts"
	// headerArrivals holds in a response how often the request may have reached an upstream.
	headerArrivals = "Sequoia-Arrivals"
	// headerOwner marks requests that an entry VM of the same region forwards, to the owner of an upstream or to one of
	// the senders to it.
	headerOwner = "Sequoia-Owner"
	// headerService names the service that the first VM chose.
	headerService = "Sequoia-Service"
	// headerDocument holds the revision and version of the document by which the sending VM chose the receiver.
	headerDocument = "Sequoia-Document"
	// headerVersion holds the version that a stream is restricted to in requests, and the version that answers in
	// responses.
	headerVersion = "Sequoia-Version"
	// headerReceiver names the VM that a forwarded request is meant for.
	headerReceiver = "Sequoia-Receiver"
	// headerOrganisation names the organisation of a forwarded request. It is read from entry VMs only.
	headerOrganisation = "Sequoia-Organisation"
)

const (
	// defaultBodyLimit is the body limit in bytes if the document sets none.
	defaultBodyLimit = 4 << 20
	// shortRetryAfter is the time after which a caller may retry at a VM that temporarily lacks a document or an
	// upstream.
	shortRetryAfter = 500 * time.Millisecond
	// documentWait is the time from the start of a VM to its first document when all VMs restart: the election of a leader
	// and the heartbeats after it.
	documentWait = 1500 * time.Millisecond
	// returnSpread spreads the returns of callers that are refused for the same reason.
	returnSpread = 300 * time.Millisecond
)

// Causes of refusals that concern only the VM which refuses.
const (
	causeStopping   = "stopping"
	causeNoDocument = "no-document"
	causeNoMemory   = "no-memory"
)

const (
	// causeBodyTimeout means that the body of a request had not arrived at the deadline.
	causeBodyTimeout = "body-timeout"
	// causeReclaimed means that the memory of a response was reclaimed while the caller read it.
	causeReclaimed = "reclaimed-memory"
)

// origin is the kind of sender of a request; a request from an entry VM of the same region is not forwarded again.
type origin int

const (
	fromCaller origin = iota
	fromOtherRegion
	fromSameRegion
)

// job is the state of one request while it is served.
type job struct {
	a     *Answerer
	w     http.ResponseWriter
	r     *http.Request
	route director.Route
	// organisation is the one that the request belongs to; nil if there is none.
	organisation *director.Organisation
	// ticket identifies the units that the request has taken from its organisation's limit.
	ticket lessee.Ticket
	// document is the one that was current when the request arrived; nil if there was none.
	document *appliedDocument
	// sender is what the VM that forwarded the request stated.
	sender   senderInfo
	info     RequestInfo
	service  string
	body     []byte
	arrived  time.Time
	deadline time.Time
	origin   origin
	// sentToOwner is set once the request was forwarded to the owner of its upstream.
	sentToOwner bool
	// senderSends counts how often the request was forwarded to a sender to an upstream with a rate limit.
	senderSends int
	// excludedSenders are senders that lack the organisation of the request or a home for it.
	excludedSenders []string
	// attemptsLeft is the number of upstreams that the request may still be sent to.
	attemptsLeft int
	// upstream is the upstream that the request was last sent to; empty if it was forwarded to another VM.
	upstream dispatcher.Upstream
	// pin is the software version that the stream may go on at, once it has begun; answeredBy is the version of the
	// upstream that answers.
	pin, answeredBy dispatcher.VersionPin
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	sends      int
	// arrivals counts how often the request may have reached an upstream; those beyond the first are retries.
	arrivals int
	excluded []string
	// failed holds the upstreams that ran the request and failed; others are tried before them.
	failed []string
	tried  triedTargets
	// availableIn is the time until an upstream of this region may get requests again, or 0 if that is unknown.
	availableIn time.Duration
	stream      streamState
	// lastFailure is the last failure response of an upstream to a retryable request.
	lastFailure *bufferedResponse
	// buffered is the response to write once no upstream is in use.
	buffered *bufferedResponse
	// reserved is the memory for bodies, until the end of the request.
	reserved []*allotter.Reservation
	// partList holds the fingerprints of the parts of the prompt for the service fingerprintedFor.
	partList         isolator.FingerprintList
	fingerprintedFor string
	// crashed is set once an upstream sent no complete response.
	crashed bool
	outcome outcome
	// aborted closes the caller's connection without ending the response.
	aborted bool
	// unreadBody is set if the connection is closed with a part of the body unread.
	unreadBody bool
}

// forwarded reports whether the request came from another entry VM.
func (j *job) forwarded() bool {
	return j.origin != fromCaller
}

// outcome holds what is logged and counted for a request.
type outcome struct {
	status   int
	cause    string
	upstream string
	// choice is the last choice of an upstream.
	choice dispatcher.Choice
	send   lastSend
	// waited is the time until the last send, firstEvent the time until the first event, and maxGap the longest pause
	// between later events.
	waited, firstEvent, maxGap time.Duration
}

func (a *Answerer) serve(w http.ResponseWriter, r *http.Request, from origin) {
	j := &job{a: a, w: w, r: r, arrived: time.Now(), origin: from}
	a.active.Add(1)
	a.lastArrival.Store(j.arrived.UnixNano())
	defer func() {
		a.active.Add(-1)
		a.recordOutcome(j)
		j.releaseMemory()
		if j.unreadBody {
			j.discardBody()
		}
		if j.aborted {
			panic(http.ErrAbortHandler)
		}
	}()
	// A request with both a length and chunked encoding is ambiguous (request smuggling). Closing the connection after
	// each chunked request ensures that nothing after it is parsed as another request.
	if len(r.TransferEncoding) > 0 || a.draining.Load() && !j.forwarded() {
		w.Header().Set("Connection", "close")
	}
	j.info = a.config.HeaderCodec.ParseRequest(r.Header)
	if j.forwarded() {
		j.sender = parseSender(r.Header)
	}
	if !j.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	defer context.AfterFunc(a.drainCtx, cancel)()
	j.run(ctx)
	j.writeBuffered()
}

// admit finds the route and the organisation, and reads the body. It answers the request itself and returns false if there
// is nothing to run.
func (j *job) admit() bool {
	j.document = j.a.document.Load()
	if j.document == nil {
		j.closeWithBody()
		j.refuse(causeNoDocument, j.a.documentExpectedIn(j.arrived))
		return false
	}
	j.recordAge(j.arrived)
	table := j.document.table
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	route, ok := table.FindRoute(j.r.Host, path)
	if !ok {
		j.closeWithBody()
	}
	if !ok && j.forwarded() {
		j.refuse("no-route-here", shortRetryAfter)
		return false
	}
	if !ok {
		j.reply(http.StatusNotFound, "no-route")
		return false
	}
	j.route = route
	if !j.identify() {
		return false
	}
	timeout := j.timeout()
	j.deadline = j.arrived.Add(timeout)
	if !j.readBody(table.Limits.BodyBytes) {
		return false
	}
	if j.a.outlasts(j) {
		j.refuse(causeStopping, shortRetryAfter)
		return false
	}
	if j.a.crashes.blocks(j) {
		j.refuse("crashes-upstreams", timeout)
		return false
	}
	j.attemptsLeft = max(1, route.Attempts)
	j.service = route.PickService(cmp.Or(j.firstAttempt(), j.info.ID))
	if service := j.r.Header.Get(headerService); j.forwarded() && service != "" {
		j.service = service
	}
	if j.isBlocked() {
		j.refuse("part-crashes-upstreams", timeout)
		return false
	}
	if !j.forwarded() {
		if !j.takeUnits() {
			return false
		}
		j.a.countRequest(j.service)
		return true
	}
	if attempts, err := strconv.Atoi(j.r.Header.Get(headerAttempts)); err == nil {
		j.attemptsLeft = attempts
	}
	j.pin = parsePin(j.r.Header)
	return true
}

// run makes attempts until the request is answered, refused or abandoned.
func (j *job) run(ctx context.Context) {
	if !j.pinTakeUp(ctx) {
		return
	}
	for {
		again := j.attempt(ctx)
		if !again {
			return
		}
		if ctx.Err() != nil {
			j.giveUp(ctx, "time-over")
			return
		}
	}
}

// giveUp ends a request for which no further attempt is made. It is refused as not run only if no upstream can have run
// it.
func (j *job) giveUp(ctx context.Context, cause string) {
	if j.a.drainCtx.Err() != nil {
		cause = "stop-ended"
	}
	switch {
	case j.r.Context().Err() != nil:
		j.outcome.cause = "caller-left"
	case j.stream.started:
		j.abort(cause)
	case j.lastFailure != nil:
		j.buffered = j.lastFailure
	case !j.mayHaveRun:
		j.refuse(cause, j.retryAfter())
	case ctx.Err() != nil:
		j.reply(http.StatusGatewayTimeout, cause)
	default:
		j.reply(http.StatusBadGateway, cause)
	}
}

// refuse answers that the request has not run and never will, with the time after which to retry.
func (j *job) refuse(cause string, after time.Duration) {
	j.returnUnits()
	j.a.config.HeaderCodec.SetRetryAfter(j.w.Header(), after)
	j.setNotRun(cause)
	j.reply(http.StatusServiceUnavailable, cause)
}

// setNotRun tells the VM that forwarded the request that it has not run and never will.
func (j *job) setNotRun(cause string) {
	if j.forwarded() {
		j.w.Header().Set(headerOutcome, outcomeNotRun)
		j.w.Header().Set(headerReason, cause)
	}
}

// retryAfter returns when capacity is likely: about the duration of one response after an upstream may get requests
// again, with jitter so that callers do not retry at the same time.
func (j *job) retryAfter() time.Duration {
	remaining := time.Until(j.deadline)
	pause := min(remaining/4, time.Second)
	return j.availableIn + max(50*time.Millisecond, pause/2+time.Duration(float64(pause)*randomFraction()))
}

// documentExpectedIn returns when a VM without a document is likely to have one, with jitter. A caller that returns before
// that has spent its retry in vain.
func (a *Answerer) documentExpectedIn(now time.Time) time.Duration {
	remaining := documentWait - now.Sub(a.startedAt)
	return max(shortRetryAfter, remaining) + time.Duration(float64(returnSpread)*randomFraction())
}

// reply writes a response that this VM generates itself.
func (j *job) reply(status int, cause string) {
	j.outcome.status = status
	j.outcome.cause = cause
	header := j.w.Header()
	if j.forwarded() && header.Get(headerOutcome) == "" {
		header.Set(headerOutcome, outcomeOther)
	}
	j.setAttemptHeaders()
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(cause)+1))
	j.w.WriteHeader(status)
	// The caller has disconnected if this fails.
	_, _ = io.WriteString(j.w, cause+"\n")
}

// abort closes the connection of a caller that has a part of the response, so that the caller does not take it for
// complete.
func (j *job) abort(cause string) {
	j.outcome.cause = cause
	j.aborted = true
}

func (j *job) dispatchRequest() dispatcher.Request {
	return dispatcher.Request{
		ID: j.info.ID + "/" + strconv.Itoa(j.sends), Service: j.service, Rank: j.rank(),
		Parts: j.info.Parts, MaxOutputTokens: j.info.MaxOutputTokens, Remaining: time.Until(j.deadline), Pin: j.pin,
		BeginsResumable: !j.pin.Set && j.route.Class == director.ClassStream && j.route.Resumable,
		ExcludedSenders: j.excludedSenders,
	}
}
