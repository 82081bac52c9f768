package answerer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

const (
	// fullAbove is the pressure there above which a request that has no place here is not worth sending.
	fullAbove = 1.5
	// readWait is the part of the objective for which a long read waits for another one at its upstream.
	readWait = 0.5
	// leastSend is the time below which a send would only waste the upstream's work.
	leastSend = 20 * time.Millisecond
	// maxSends bounds the sends of one request, those that did not run included.
	maxSends = 4
)

func spread() float64 { return rand.Float64() }

// attempt makes one choice and, when there is one, one send. It reports whether another attempt should follow.
func (j *job) attempt(ctx context.Context) bool {
	if time.Until(j.ends) < leastSend {
		j.giveUp(ctx, "time-over")
		return false
	}
	if j.sends > 0 && (j.attempts <= 0 || j.sends >= maxSends) {
		j.giveUp(ctx, "attempts-used")
		return false
	}
	if j.arrivals > 0 && !j.a.takeRetry(j.service) {
		j.giveUp(ctx, "no-retry-budget")
		return false
	}
	if !j.route.AllowsRegion(j.a.config.Self.Region) {
		return j.sendHome(ctx)
	}
	if there, ok := j.crossing(); ok {
		return j.sendPeer(ctx, there)
	}
	if owner, ok := j.owner(); ok {
		return j.sendOwner(ctx, owner)
	}
	request := j.described()
	choice := j.choose(ctx, &request)
	if choice.Reason == dispatcher.ReasonNone {
		return j.sendUpstream(ctx, choice, request)
	}
	if there, ok := j.elsewhere(); ok && there.pressure < fullAbove {
		return j.sendPeer(ctx, there)
	}
	j.giveUp(ctx, string(choice.Reason))
	return false
}

// choose waits for the upstream of a long read to end another one, as long as the answer can still come in time.
func (j *job) choose(ctx context.Context, request *dispatcher.Request) dispatcher.Choice {
	limit := time.Now().Add(min(time.Duration(readWait*float64(j.route.Objective)), time.Until(j.ends)/2))
	for {
		request.MayWait = time.Now().Before(limit)
		choice, changed := j.a.choose(*request, j.excluded)
		if choice.Reason != dispatcher.ReasonPrefillBusy {
			return choice
		}
		timer := time.NewTimer(time.Until(limit))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return choice
		}
	}
}

// owner returns the neighbour that a long read should go through.
func (j *job) owner() (fleetserver.EntryVM, bool) {
	if j.origin == fromNeighbour || j.askedOwner || j.sends > 0 {
		return fleetserver.EntryVM{}, false
	}
	return j.a.owner(j.described())
}

// sendOwner forwards a long read to the neighbour that lets the reads of its upstream follow each other.
func (j *job) sendOwner(ctx context.Context, owner fleetserver.EntryVM) bool {
	j.askedOwner = true
	return j.forwardTo(ctx, target{name: owner.Name, address: owner.PeerAddress}, "1")
}

// sendHome forwards a request that may not be processed in the own region.
func (j *job) sendHome(ctx context.Context) bool {
	there, ok := j.elsewhere()
	if !ok {
		j.giveUp(ctx, "no-home-reachable")
		return false
	}
	return j.sendPeer(ctx, there)
}

// elsewhere returns the best other region; a request that was forwarded here goes no further.
func (j *job) elsewhere() (target, bool) {
	if j.forwarded() {
		return target{}, false
	}
	return j.a.remote(j.route, j.service, j.regions)
}

// crossing returns another region for a part of the requests while the pressure there is less than here.
func (j *job) crossing() (target, bool) {
	if j.sends > 0 || j.forwarded() {
		return target{}, false
	}
	there, ok := j.elsewhere()
	if !ok {
		return target{}, false
	}
	return there, j.a.crosses(j.service, there.pressure)
}

// sendUpstream sends to an upstream of this region.
func (j *job) sendUpstream(ctx context.Context, choice dispatcher.Choice, request dispatcher.Request) bool {
	j.sends++
	j.attempts--
	j.outcome.upstream = choice.Upstream.ID
	j.outcome.choice = choice
	j.at = choice.Upstream
	j.outcome.waited = time.Since(j.arrived)
	header := j.header()
	j.a.config.HeaderCodec.PrepareRequest(header, SendOptions{
		Instance: choice.Upstream.ID, Remaining: time.Until(j.ends), Rank: j.route.Rank, LastEvent: j.resumeFrom(),
	})
	response, err := j.do(ctx, choice.Upstream.Address, header)
	if notSent(err) {
		j.attempts++
	} else {
		j.arrivals++
	}
	if err != nil {
		result, again := j.failed(ctx, err)
		j.a.end(choice.Upstream.ID, request.ID, result)
		j.excluded = append(j.excluded, choice.Upstream.ID)
		return again
	}
	defer response.Close()
	verdict := j.a.config.HeaderCodec.ParseResponse(response.StatusCode, response.Header)
	if verdict.NotRun {
		j.a.end(choice.Upstream.ID, request.ID, refusal(verdict))
		j.attempts++
		j.excluded = append(j.excluded, choice.Upstream.ID)
		drain(response)
		return true
	}
	j.ran = true
	result, again := j.relay(ctx, response, verdict, func() { j.a.firstEvent(choice.Upstream.ID, request.ID) })
	j.a.end(choice.Upstream.ID, request.ID, result)
	return again
}

func refusal(verdict ResponseInfo) dispatcher.Result {
	if verdict.Replaced {
		return dispatcher.ResultReplaced
	}
	return dispatcher.ResultRefused
}

// sendPeer forwards to an entry VM of another region, which chooses the upstream.
func (j *job) sendPeer(ctx context.Context, there target) bool {
	j.regions = append(j.regions, there.region)
	j.a.reach.try(time.Now(), there.region, *j.a.regions.Load())
	return j.forwardTo(ctx, there, "")
}

// forwardTo sends to another entry VM; owner marks a request for the owner of an upstream.
func (j *job) forwardTo(ctx context.Context, there target, owner string) bool {
	j.sends++
	j.at = dispatcher.Upstream{}
	j.outcome.upstream = there.name
	header := j.header()
	j.a.config.HeaderCodec.PrepareRequest(header, SendOptions{Remaining: time.Until(j.ends), Rank: j.route.Rank, LastEvent: j.resumeFrom()})
	given := max(1, j.attempts)
	header.Set(headerAttempts, strconv.Itoa(given))
	header.Set(headerService, j.service)
	if owner != "" {
		header.Set(headerOwner, owner)
	}
	response, err := j.do(ctx, there.address, header)
	// Without an answer, the other VM may have used all attempts.
	j.attempts = 0
	if err != nil {
		if notSent(err) {
			j.attempts = given
			j.a.reach.note(time.Now(), there.name)
		} else {
			j.arrivals++
		}
		_, again := j.failed(ctx, err)
		return again
	}
	defer response.Close()
	j.a.reach.heard(*j.a.regions.Load(), there)
	j.arrivals += arrivalsOf(response.Header)
	if left, err := strconv.Atoi(response.Header.Get(headerAttempts)); err == nil {
		j.attempts = min(left, given)
	}
	if response.Header.Get(headerOutcome) == outcomeNotRun {
		drain(response)
		return true
	}
	j.ran = true
	verdict := j.a.config.HeaderCodec.ParseResponse(response.StatusCode, response.Header)
	_, again := j.relay(ctx, response, verdict, func() {})
	return again
}

// arrivalsOf is how often another VM's answer says that it reached an upstream; one that does not say so counts once.
func arrivalsOf(header http.Header) int {
	arrivals, err := strconv.Atoi(header.Get(headerArrivals))
	if err != nil {
		return 1
	}
	return arrivals
}

func (j *job) header() http.Header {
	header := http.Header{}
	forwarder.CopyHeader(header, j.r.Header)
	header.Del(headerAttempts)
	header.Del(headerService)
	header.Del(headerOwner)
	return header
}

func (j *job) do(ctx context.Context, address netip.AddrPort, header http.Header) (*forwarder.Response, error) {
	return j.a.config.Client.Do(ctx, address, forwarder.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: header, Body: j.body,
		FreshConnection: !j.route.Retryable(),
		Matches: func(header http.Header) bool {
			return header.Get(headerOutcome) != "" || j.a.config.HeaderCodec.MatchesID(header, j.about.ID)
		},
	})
}

// failed decides what follows a send without a response: another one if the request cannot have run or may be repeated.
func (j *job) failed(ctx context.Context, err error) (dispatcher.Result, bool) {
	if notSent(err) {
		if ctx.Err() != nil {
			j.giveUp(ctx, "time-over")
			return dispatcher.ResultCancelled, false
		}
		j.logSend(err, "not-sent")
		return dispatcher.ResultUnreachable, true
	}
	j.ran = true
	if ctx.Err() != nil {
		j.giveUp(ctx, "time-over")
		return dispatcher.ResultCancelled, false
	}
	j.logSend(err, "lost")
	j.a.suspects.note(j)
	if j.route.Retryable() {
		return dispatcher.ResultFailed, true
	}
	j.giveUp(ctx, "no-response")
	return dispatcher.ResultFailed, false
}

func (j *job) logSend(err error, outcome string) {
	j.a.config.Logger.WithField("request", j.about.ID).WithField("upstream", j.outcome.upstream).
		WithField("outcome", outcome).WithError(err).Info("send failed")
}

// notSent reports whether no byte of a send left this VM.
func notSent(err error) bool {
	var failure *forwarder.Error
	return errors.As(err, &failure) && failure.Kind == forwarder.KindNotSent
}
