package answerer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/forwarder"
)

const (
	// maxRemotePressure is the remote pressure from which a request that finds no local capacity is not forwarded.
	maxRemotePressure = 1.5
	// prefillWaitShare is the share of the route's objective for which a long prefill waits for another one at its
	// upstream.
	prefillWaitShare = 0.5
	// minSendTime is the remaining time below which a send would only waste the upstream's work.
	minSendTime = 20 * time.Millisecond
	// maxSends limits the sends of one request, including those that did not run.
	maxSends = 4
	// maxSenderSends limits how often a request is sent to another VM that may send to an upstream with a rate limit.
	maxSenderSends = 2
)

func randomFraction() float64 { return rand.Float64() }

// attempt makes one choice and, if there is a target, one send. It reports whether another attempt should follow.
func (j *job) attempt(ctx context.Context) bool {
	if time.Until(j.deadline) < minSendTime {
		j.giveUp(ctx, "time-over")
		return false
	}
	if j.sends > 0 && (j.attemptsLeft <= 0 || j.sends >= maxSends) {
		j.giveUp(ctx, "attempts-used")
		return false
	}
	if j.sends > 0 && j.isBlocked() {
		j.giveUp(ctx, "part-crashes-upstreams")
		return false
	}
	if j.crashed && j.isSuspected() {
		j.giveUp(ctx, "part-suspected")
		return false
	}
	if j.stream.started && !j.pin.Set {
		j.giveUp(ctx, "stream-version-unknown")
		return false
	}
	if j.arrivals > 0 && !j.a.allowRetry(j.service) {
		j.giveUp(ctx, "no-retry-budget")
		return false
	}
	if !j.allowsRegion(j.a.config.Self.Region) {
		return j.sendToHomeRegion(ctx)
	}
	if remote, ok := j.spilloverTarget(); ok {
		return j.sendToRegion(ctx, remote, decisionSpillover)
	}
	if owner, ok := j.owner(); ok {
		return j.sendToOwner(ctx, owner)
	}
	request := j.dispatchRequest()
	choice := j.choose(ctx, &request)
	if choice.Reason == dispatcher.ReasonNone {
		return j.sendToUpstream(ctx, choice, request)
	}
	if sender, ok := j.senderVM(choice.Reason); ok {
		return j.sendToSender(ctx, sender)
	}
	if remote, ok := j.remoteTarget(); ok && remote.pressure < maxRemotePressure {
		return j.sendToRegion(ctx, remote, decisionNoCapacity)
	}
	j.availableIn = choice.AvailableIn
	j.giveUp(ctx, string(choice.Reason))
	return false
}

// choose selects an upstream. While the upstream for a long prefill is busy with another one, it waits as long as the
// response can still come in time.
func (j *job) choose(ctx context.Context, request *dispatcher.Request) dispatcher.Choice {
	limit := time.Now().Add(min(time.Duration(prefillWaitShare*float64(j.route.Objective)), time.Until(j.deadline)/2))
	for {
		request.MayWait = time.Now().Before(limit)
		choice, upstreamFreed := j.a.choose(*request, j.excluded, j.failed)
		if choice.Reason != dispatcher.ReasonPrefillBusy {
			return choice
		}
		timer := time.NewTimer(time.Until(limit))
		select {
		case <-ctx.Done():
		case <-upstreamFreed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return choice
		}
	}
}

// sendToUpstream sends the request to an upstream of this region.
func (j *job) sendToUpstream(ctx context.Context, choice dispatcher.Choice, request dispatcher.Request) bool {
	j.recordSend(decisionUpstream, j.a.config.Self.Region, choice.Upstream.ID, choice.Upstream.Address, choice.Upstream)
	j.attemptsLeft--
	j.outcome.choice = choice
	j.answeredBy = dispatcher.PinTo(choice.Upstream.Version)
	header := j.requestHeader()
	j.a.config.HeaderCodec.PrepareRequest(header, SendOptions{
		Instance: choice.Upstream.ID, Remaining: time.Until(j.deadline), Rank: j.rank(), LastEvent: j.resumeFrom(),
		ReplaceIdentity: j.document.table.HasOrganisations(), Organisation: organisationName(j.organisation),
	})
	exchange := j.exchange(header)
	exchange.Permit = func(closedUsedAt time.Time) error {
		return j.a.confirmSend(choice.Upstream.ID, request.ID, closedUsedAt)
	}
	response, err := j.a.config.Client.Do(ctx, choice.Upstream.Address, exchange)
	if notSent(err) {
		j.attemptsLeft++
	} else {
		j.arrivals++
	}
	if err != nil {
		result, again := j.handleSendError(ctx, err)
		j.a.end(choice.Upstream.ID, request.ID, result)
		if result == dispatcher.ResultBroken {
			j.a.suspectRestart(choice.Upstream.ID, workedAt(err))
		}
		j.excluded = append(j.excluded, choice.Upstream.ID)
		return again
	}
	info := j.a.config.HeaderCodec.ParseResponse(response.StatusCode, response.Header)
	if info.NotRun && response.Reused && !info.NamesRequest && !j.route.Retryable() {
		defer response.Close()
		return j.rejectRefusal(ctx, choice.Upstream.ID, request.ID)
	}
	if !info.Replaced {
		j.a.recordContact(choice.Upstream.ID, response)
		j.a.recordStatements(choice.Upstream.ID, info)
	}
	if info.NotRun {
		defer response.Close()
		if info.Replaced {
			j.logSendFailure(newError("check response", KindReplaced, "another instance has this address"), "replaced")
		}
		j.a.end(choice.Upstream.ID, request.ID, refusalResult(info))
		j.attemptsLeft++
		j.excluded = append(j.excluded, choice.Upstream.ID)
		response.Discard()
		return true
	}
	j.mayHaveRun = true
	result, again := j.relay(ctx, response, info, func() { j.a.firstEvent(choice.Upstream.ID, request.ID) })
	j.a.end(choice.Upstream.ID, request.ID, result)
	switch result {
	case dispatcher.ResultComplete:
		j.recordCompletion(response)
	case dispatcher.ResultBroken:
		j.a.suspectRestart(choice.Upstream.ID, response.ReceivedAt)
	default:
	}
	if again {
		j.failed = append(j.failed, choice.Upstream.ID)
	}
	return again
}

// rejectRefusal handles a refusal that names no request on a connection that carried others: it may belong to one of
// them, while the upstream runs this one.
func (j *job) rejectRefusal(ctx context.Context, upstream, request string) bool {
	result, again := j.handleSendError(ctx, newError("check response", KindBroken, "the refusal names no request"))
	j.a.end(upstream, request, result)
	j.excluded = append(j.excluded, upstream)
	return again
}

func refusalResult(info ResponseInfo) dispatcher.Result {
	if info.Replaced {
		return dispatcher.ResultReplaced
	}
	return dispatcher.ResultRefused
}

func (j *job) requestHeader() http.Header {
	header := http.Header{}
	forwarder.CopyHeader(header, j.r.Header)
	header.Del(headerAttempts)
	header.Del(headerService)
	header.Del(headerOwner)
	header.Del(headerDocument)
	header.Del(headerReceiver)
	header.Del(headerVersion)
	header.Del(headerOrganisation)
	return header
}

// exchange returns the request as it is sent with a header.
func (j *job) exchange(header http.Header) forwarder.Request {
	request := forwarder.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: header, Body: j.body,
		Matches: func(header http.Header) bool {
			return header.Get(headerOutcome) != "" || j.a.config.HeaderCodec.MatchesID(header, j.info.ID)
		},
	}
	if !j.route.Retryable() {
		request.FreshConnection, request.ID = true, j.info.ID
	}
	return request
}

// handleSendError decides what follows a send without a response. The request is retried if it cannot have run or its
// route is retryable.
func (j *job) handleSendError(ctx context.Context, err error) (dispatcher.Result, bool) {
	if notSent(err) {
		if ctx.Err() != nil {
			j.giveUp(ctx, "time-over")
			return dispatcher.ResultCancelled, false
		}
		j.logSendFailure(err, "not-sent")
		if errors.Is(err, errNotPermitted) {
			return dispatcher.ResultCancelled, true
		}
		return dispatcher.ResultUnreachable, true
	}
	j.mayHaveRun = true
	if ctx.Err() != nil {
		j.giveUp(ctx, "time-over")
		return dispatcher.ResultCancelled, false
	}
	j.logSendFailure(err, "lost")
	j.a.crashes.probeUpstream(j)
	result := lostResult(err)
	if j.route.Retryable() {
		return result, true
	}
	j.giveUp(ctx, "no-response")
	return result, false
}

// lostResult returns the result of a send without a complete response: bytes that are no response come from an upstream
// that is there.
func lostResult(err error) dispatcher.Result {
	var network *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return dispatcher.ResultBroken
	}
	return dispatcher.ResultFailed
}

// workedAt returns when the connection of a failed send worked last before it.
func workedAt(err error) time.Time {
	var failure *forwarder.Error
	if errors.As(err, &failure) {
		return failure.WorkedAt
	}
	return time.Time{}
}

// notSent reports whether no byte of a request left this VM.
func notSent(err error) bool {
	var failure *forwarder.Error
	return errors.As(err, &failure) && failure.Kind == forwarder.KindNotSent
}
