package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/restrictor"
	"sequoiaspread.example/sequoia/retrier"
	"sequoiaspread.example/sequoia/router"
)

// maxErrorBytes limits how much of an error response is searched for its reason.
const maxErrorBytes = 16 << 10

// attempts runs the attempts of one request sequentially.
type attempts struct {
	gateway   *gateway
	request   *callerRequest
	admission *admission
	// forwardOnly is set if the request must not be sent to a local upstream, because no permit was requested for it.
	forwardOnly bool
	body        []byte
	deadline    time.Time
	count       int
	excluded    []string
	target      target
	call        *call
	lastFailure *failure
	// worstFailure is the failure that is reported: the one that gives the strongest indication that the request ran.
	worstFailure *failure
}

func (g *gateway) newAttempts(req *callerRequest) *attempts {
	return &attempts{gateway: g, request: req, body: req.body, deadline: req.received.Add(req.service.Timeout.Duration)}
}

// start makes one attempt. With a non-zero after it resumes the stream at the same upstream if possible. The response
// of the returned call is passed on to the caller; every other response is returned as a failure.
func (a *attempts) start(ctx context.Context, after uint64) (*call, error) {
	a.count++
	if err := a.chooseTarget(ctx, after > 0); err != nil {
		a.target = target{}
		return nil, err
	}
	if err := a.checkTargetResidency(); err != nil {
		return nil, err
	}
	a.gateway.publish(a.request, phaseSent, a.target, nil)
	started, err := startCall(ctx, a.newOutgoingRequest(after))
	a.call = started
	if err != nil {
		return nil, err
	}
	return started, a.checkResponse(started)
}

// chooseTarget sets the target of the next attempt.
func (a *attempts) chooseTarget(ctx context.Context, resume bool) error {
	if resume && a.canResume() {
		a.gateway.scheduler.recordResume(a.request, a.target)
		return nil
	}
	if err := a.ensureAdmitted(ctx); err != nil {
		return err
	}
	zone := a.admission.forwardZone
	if zone == "" && a.forwardOnly {
		return asFinal(newRefusal("choose target", classifier.CauseNoUpstream, ""))
	}
	if zone == "" {
		chosen, err := a.gateway.scheduler.place(a.request, a.excluded)
		if err != nil {
			return a.placementFailure(err)
		}
		if chosen.upstream != nil {
			a.target = upstreamTarget(chosen.upstream)
			return nil
		}
		zone = chosen.zone
	}
	a.release()
	next, err := a.gateway.forwardTarget(a.request, zone, a.excluded)
	a.target = next
	return asFinal(err)
}

// canResume reports whether a stream can be resumed at the upstream that started it.
func (a *attempts) canResume() bool {
	return !a.target.isForward() && !a.target.upstream.isDraining() && a.lastFailure.kind != classifier.CauseConnectFailed
}

// ensureAdmitted waits for admission unless the request is already admitted here.
func (a *attempts) ensureAdmitted(ctx context.Context) error {
	if a.admission != nil {
		return nil
	}
	adm, err := a.gateway.scheduler.admit(ctx, a.request, a.excluded)
	if err != nil {
		return a.placementFailure(err)
	}
	a.admission = adm
	if a.count == 1 {
		a.gateway.scheduler.countRequest()
		a.gateway.publish(a.request, phaseAdmitted, target{}, nil)
	}
	return nil
}

// release ends the admission. A later local attempt must be admitted again.
func (a *attempts) release() {
	a.gateway.scheduler.release(a.admission)
	a.admission = nil
}

// placementFailure makes a local refusal final. The exceptions are a missing upstream and a running trial of a suspect
// request after a failed attempt: the failure has updated the state of the upstreams, and one may soon be available.
func (a *attempts) placementFailure(err error) error {
	kind := asFailure(err).kind
	if a.count > 1 && (kind == classifier.CauseNoUpstream || kind == classifier.CauseSuspectTrial) {
		return err
	}
	return asFinal(err)
}

func asFinal(err error) error {
	if err == nil {
		return nil
	}
	f := asFailure(err)
	f.final = true
	return f
}

// checkTargetResidency is the last check before bytes leave the process.
func (a *attempts) checkTargetResidency() error {
	purpose := restrictor.PurposeRequest
	switch {
	case a.target.isForward():
		purpose = restrictor.PurposeForward
	case a.count > 1:
		purpose = restrictor.PurposeRetry
	}
	return a.gateway.checkResidency(a.request, purpose, a.target.zone)
}

func (a *attempts) newOutgoingRequest(after uint64) outgoingRequest {
	req := a.request
	request := outgoingRequest{
		client: a.target.client, address: a.target.address, method: req.method, path: req.path, query: req.query,
		header: req.upstreamHeader(), body: a.body, sendOnce: !req.idempotent,
	}
	if req.pool.Kind == parser.PoolEngine {
		request.firstByteTimeout = req.firstByteTimeout()
		request.nextByteTimeout = req.nextByteTimeout()
	}
	if a.target.isForward() {
		request.header = req.forwardHeader(a.gateway.self())
		request.path = req.forwardPath()
	}
	if after > 0 {
		request.header.Set(headerLastEvent, strconv.FormatUint(after, 10))
	}
	return request
}

// checkResponse returns a failure for each response that must not be passed on to the caller.
func (a *attempts) checkResponse(c *call) error {
	status := c.response.StatusCode
	isProblem := strings.HasPrefix(c.response.Header.Get("Content-Type"), problemContentType)
	switch {
	case a.target.isForward() && isProblem:
		return a.forwardedProblem(c)
	case status == http.StatusServiceUnavailable:
		return a.handleUnavailable(c)
	case a.request.pool.Kind == parser.PoolPlain:
		return nil
	case status == http.StatusTooManyRequests:
		c.rejected = true
		return c.failWith("call upstream", "upstream is at capacity", retryAfterOf(c.response))
	case status == http.StatusNotFound:
		return a.handleNotFound(c)
	case status >= http.StatusInternalServerError:
		c.errorReported = true
		return c.failWith("call upstream", "status "+strconv.Itoa(status), 0)
	default:
		return nil
	}
}

// handleNotFound handles a 404 of an engine or another gateway. An engine that has unloaded the model on an order of a
// controller did not run the request; any other 404 is passed on to the caller.
func (a *attempts) handleNotFound(c *call) error {
	if reportsModelMissing(c.peekReason()) && !a.target.isForward() {
		c.rejected = true
		return c.failWith("call upstream", "upstream has not loaded the model", 0)
	}
	return nil
}

// handleUnavailable handles a 503. An upstream that reports that it is draining did not run the request. Any other 503
// is passed on to the caller for a plain service, and counts as a rejection otherwise.
func (a *attempts) handleUnavailable(c *call) error {
	if reportsDraining(c.peekReason()) && !a.target.isForward() {
		a.gateway.markDraining(a.target.upstream, "response")
		c.rejected = true
		return c.failWith("call upstream", "upstream is draining", 0)
	}
	if a.request.pool.Kind == parser.PoolPlain {
		return nil
	}
	c.rejected = true
	return c.failWith("call upstream", "upstream is not available", retryAfterOf(c.response))
}

// forwardedProblem returns the failure that another gateway reported in its problem document.
func (a *attempts) forwardedProblem(c *call) error {
	text, err := io.ReadAll(io.LimitReader(c, maxErrorBytes))
	if err != nil {
		return c.fail("read problem", err)
	}
	var document problem
	if err := json.Unmarshal(text, &document); err != nil {
		return c.fail("read problem", err)
	}
	f := c.failWith("forward request", document.Title, retryAfterOf(c.response))
	f.kind = classifier.Cause(strings.TrimPrefix(document.Type, problemPrefix))
	f.forwardedOutcome = &document.Outcome
	f.detail = document.Detail
	return f
}

func (c *call) failWith(op, reason string, retryAfter time.Duration) *failure {
	f := c.fail(op, eris.New(reason))
	f.retryAfter = retryAfter
	return f
}

func retryAfterOf(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// recordFailure records the failure of an attempt.
func (a *attempts) recordFailure(err error) {
	a.lastFailure = asFailure(err)
	if a.worstFailure == nil || severity(a.lastFailure.outcome(a.request.keyStatus)) >= severity(a.worstFailure.outcome(a.request.keyStatus)) {
		a.worstFailure = a.lastFailure
	}
	if !a.target.isForward() {
		a.gateway.scheduler.notifyRouter(router.RequestFailed{Upstream: identity(a.target.upstream), RequestID: a.request.id})
		a.gateway.handleBrokenCall(a.request, a.target.upstream, a.lastFailure)
		if a.lastFailure.kind == classifier.CauseConnectFailed {
			a.gateway.markSuspect(a.target.upstream)
		}
	}
	if a.target.vm != "" {
		a.excluded = append(a.excluded, a.target.vm)
	}
	a.gateway.publish(a.request, phaseAttemptFailed, a.target, a.lastFailure)
}

// severity orders outcomes by how strongly they indicate that the request ran. Once one attempt may have run, "not run"
// must not be reported.
func severity(outcome classifier.Outcome) int {
	switch outcome {
	case classifier.OutcomeNotRun:
		return 0
	case classifier.OutcomeUnknown:
		return 1
	default:
		return 2
	}
}

// awaitRetry decides whether another attempt follows, and waits for its backoff. The streamer prevents duplicate
// delivery: an attempt restarts only if nothing was delivered, and resumes otherwise.
func (a *attempts) awaitRetry(ctx context.Context) bool {
	if a.lastFailure.final {
		return false
	}
	decision := a.gateway.scheduler.decideRetry(retrier.Failure{
		Outcome:    retrier.Outcome(a.lastFailure.outcome(classifier.KeyStatusGranted)),
		Idempotent: a.request.idempotent,
		Attempt:    a.count,
		RetryAfter: a.lastFailure.retryAfter,
		Deadline:   a.deadline,
	})
	if !decision.Retry {
		return false
	}
	timer := time.NewTimer(decision.After)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
