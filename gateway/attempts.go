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

// maxRefusalBytes bounds what is read of an error response.
const maxRefusalBytes = 16 << 10

// attempts makes the attempts of one request, one after the other.
type attempts struct {
	gateway *gateway
	job     *job
	ticket  *ticket
	// forwardOnly is set for a call that must not be sent to an upstream here, because no permit was asked for.
	forwardOnly bool
	body        []byte
	deadline    time.Time
	count       int
	excluded    []string
	target      target
	call        *call
	last        *failure
	// worst is the failure that says most about whether the request ran; it is the one to report.
	worst *failure
}

func (g *gateway) newAttempts(j *job) *attempts {
	return &attempts{gateway: g, job: j, body: j.body, deadline: j.received.Add(j.service.Timeout.Duration)}
}

// start makes one attempt, at the same upstream when it continues an answer there. The returned call has a response
// that belongs to the caller; every other response is a failure.
func (a *attempts) start(ctx context.Context, after uint64) (*call, error) {
	a.count++
	if err := a.choose(ctx, after > 0); err != nil {
		a.target = target{}
		return nil, err
	}
	if err := a.checkResidency(); err != nil {
		return nil, err
	}
	a.gateway.publish(a.job, phaseSent, a.target, nil)
	started, err := startCall(ctx, a.request(after))
	a.call = started
	if err != nil {
		return nil, err
	}
	return started, a.examine(started)
}

// choose sets the target of the next attempt.
func (a *attempts) choose(ctx context.Context, resume bool) error {
	if resume && a.staysUsable() {
		a.gateway.scheduler.resend(a.job, a.target)
		return nil
	}
	if err := a.enter(ctx); err != nil {
		return err
	}
	zone := a.ticket.forward
	if zone == "" && a.forwardOnly {
		return final(refuse("choose place", classifier.CauseNoUpstream, ""))
	}
	if zone == "" {
		chosen, err := a.gateway.scheduler.place(a.job, a.excluded)
		if err != nil {
			return a.unplaced(err)
		}
		if chosen.upstream != nil {
			a.target = upstreamTarget(chosen.upstream)
			return nil
		}
		zone = chosen.zone
	}
	a.release()
	next, err := a.gateway.forwardTarget(a.job, zone, a.excluded)
	a.target = next
	return final(err)
}

// staysUsable reports whether an answer can be continued at the upstream that began it.
func (a *attempts) staysUsable() bool {
	return !a.target.forward() && !a.target.upstream.isLeaving() && a.last.kind != classifier.CauseConnectFailed
}

// enter waits for admission unless the request is already admitted here.
func (a *attempts) enter(ctx context.Context) error {
	if a.ticket != nil {
		return nil
	}
	t, err := a.gateway.scheduler.enter(ctx, a.job, a.excluded)
	if err != nil {
		return a.unplaced(err)
	}
	a.ticket = t
	if a.count == 1 {
		a.gateway.scheduler.started()
		a.gateway.publish(a.job, phaseAdmitted, target{}, nil)
	}
	return nil
}

// release ends the admission; a later attempt here must be admitted again.
func (a *attempts) release() {
	a.gateway.scheduler.release(a.ticket)
	a.ticket = nil
}

// unplaced makes a decision of this gateway final, except that after a failed attempt an upstream may soon be free: the
// failure itself has changed what is known of the upstreams.
func (a *attempts) unplaced(err error) error {
	kind := asFailure(err).kind
	if a.count > 1 && (kind == classifier.CauseNoUpstream || kind == classifier.CauseSuspectTrial) {
		return err
	}
	return final(err)
}

func final(err error) error {
	if err == nil {
		return nil
	}
	f := asFailure(err)
	f.final = true
	return f
}

// checkResidency is the last check before bytes leave the process.
func (a *attempts) checkResidency() error {
	purpose := restrictor.PurposeRequest
	switch {
	case a.target.forward():
		purpose = restrictor.PurposeForward
	case a.count > 1:
		purpose = restrictor.PurposeRetry
	}
	return a.gateway.allow(a.job, purpose, a.target.zone)
}

func (a *attempts) request(after uint64) callRequest {
	j := a.job
	request := callRequest{
		client: a.target.client, address: a.target.address, method: j.method, path: j.path, query: j.query,
		header: j.upstreamHeader(), body: a.body, once: !j.idempotent,
	}
	if j.pool.Kind == parser.PoolEngine {
		request.firstByte = j.firstByteTimeout()
		request.nextByte = j.nextByteTimeout()
	}
	if a.target.forward() {
		request.header = j.forwardHeader(a.gateway.self())
		request.path = j.forwardPath()
	}
	if after > 0 {
		request.header.Set(headerLastEvent, strconv.FormatUint(after, 10))
	}
	return request
}

// examine turns responses that are not an answer into failures.
func (a *attempts) examine(c *call) error {
	status := c.response.StatusCode
	isProblem := strings.HasPrefix(c.response.Header.Get("Content-Type"), problemContentType)
	switch {
	case a.target.forward() && isProblem:
		return a.relayedProblem(c)
	case status == http.StatusServiceUnavailable:
		return a.unavailable(c)
	case a.job.pool.Kind == parser.PoolPlain:
		return nil
	case status == http.StatusTooManyRequests:
		c.refused = true
		return c.failWith("call upstream", "upstream has no room", retryAfterOf(c.response))
	case status == http.StatusNotFound:
		return a.notFound(c)
	case status >= http.StatusInternalServerError:
		c.failed = true
		return c.failWith("call upstream", "status "+strconv.Itoa(status), 0)
	default:
		return nil
	}
}

// notFound handles a 404 of an engine or of another gateway. An engine from which an order has unloaded the model did
// not run the request; any other 404 belongs to the caller.
func (a *attempts) notFound(c *call) error {
	text, _ := io.ReadAll(io.LimitReader(c, maxRefusalBytes))
	if statesModelMissing(text) && !a.target.forward() {
		c.refused = true
		return c.failWith("call upstream", "upstream has not loaded the model", 0)
	}
	c.response.Body = io.NopCloser(strings.NewReader(string(text)))
	return nil
}

// unavailable handles a 503. An upstream that says it is leaving did not run the request; what else a plain service
// means by 503 is for the caller to read.
func (a *attempts) unavailable(c *call) error {
	text, _ := io.ReadAll(io.LimitReader(c, maxRefusalBytes))
	if statesLeaving(text) && !a.target.forward() {
		a.gateway.noteLeaving(a.target.upstream, "response")
		c.refused = true
		return c.failWith("call upstream", "upstream is leaving", 0)
	}
	if a.job.pool.Kind == parser.PoolPlain {
		c.response.Body = io.NopCloser(strings.NewReader(string(text)))
		return nil
	}
	c.refused = true
	return c.failWith("call upstream", "upstream is not available", retryAfterOf(c.response))
}

// relayedProblem takes over what another gateway found out.
func (a *attempts) relayedProblem(c *call) error {
	text, err := io.ReadAll(io.LimitReader(c, maxRefusalBytes))
	if err != nil {
		return c.fail("read problem", err)
	}
	var document problem
	if err := json.Unmarshal(text, &document); err != nil {
		return c.fail("read problem", err)
	}
	f := c.failWith("forward request", document.Title, retryAfterOf(c.response))
	f.kind = classifier.Cause(strings.TrimPrefix(document.Type, problemPrefix))
	f.relayed = &document.Outcome
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

// failed notes the end of an attempt.
func (a *attempts) failed(err error) {
	a.last = asFailure(err)
	if a.worst == nil || severity(a.last.outcome(a.job.standing)) >= severity(a.worst.outcome(a.job.standing)) {
		a.worst = a.last
	}
	if !a.target.forward() {
		a.gateway.scheduler.tell(router.RequestFailed{Upstream: identity(a.target.upstream), RequestID: a.job.id})
		a.gateway.noteEnd(a.job, a.target.upstream, a.last)
		if a.last.kind == classifier.CauseConnectFailed {
			a.gateway.noteSuspect(a.target.upstream)
		}
	}
	if a.target.vm != "" {
		a.excluded = append(a.excluded, a.target.vm)
	}
	a.gateway.publish(a.job, phaseFailed, a.target, a.last)
}

// severity orders outcomes by what they commit the report to: once an attempt may have run, the request was not "not run".
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

// again decides whether another attempt may follow and waits its backoff. The streamer has already decided that nothing
// is delivered twice: an attempt starts from the beginning only when nothing was delivered, and resumes otherwise.
func (a *attempts) again(ctx context.Context) bool {
	if a.last.final {
		return false
	}
	decision := a.gateway.scheduler.retry(retrier.Failure{
		Outcome:    retrier.Outcome(a.last.outcome(classifier.KeyStatusGranted)),
		Idempotent: a.job.idempotent,
		Attempt:    a.count,
		RetryAfter: a.last.retryAfter,
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
