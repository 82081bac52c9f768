package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/router"
	"sequoiaspread.example/sequoia/streamer"
)

const contentTypeEvents = "text/event-stream"

// relay streams one response to the caller, across as many attempts as needed.
type relay struct {
	attempts      *attempts
	w             http.ResponseWriter
	control       *http.ResponseController
	streamer      *streamer.Streamer
	events        *eventReader
	intervals     intervalMeter
	attemptNumber uint64
	buffer        []byte
	headerSent    bool
	// buffered is set if the upstream responded with something other than a stream, which is passed on unchanged.
	buffered *bufferedResponse
}

// nextStep is the action that the applied effects require next.
type nextStep struct {
	retry       bool
	resumeAfter uint64
	fail        streamer.FailKind
}

func (g *gateway) streamChat(ctx context.Context, w http.ResponseWriter, r *http.Request, a *attempts) {
	relay := &relay{
		attempts: a, w: w, control: http.NewResponseController(w),
		streamer: streamer.New(streamer.Config{Resumable: a.request.pool.ResumesStreams}),
	}
	err := relay.run(ctx)
	if a.call != nil {
		a.call.close()
	}
	if !a.target.isForward() {
		g.reportIntervals(a.target.upstream, &relay.intervals)
	}
	switch {
	case err == nil && relay.buffered != nil:
		g.writeResponse(w, a, *relay.buffered)
	case err == nil:
		a.recordCompletion(int(relay.streamer.Position()))
	case !relay.headerSent:
		g.writeFailure(w, r, a.request, err)
	default:
		relay.writeError(asFailure(err))
		g.publish(a.request, phaseEnded, a.target, asFailure(err))
	}
}

// run relays events until the response is complete. The error says why it is not.
func (r *relay) run(ctx context.Context) error {
	effects := r.startAttempt(ctx, 0)
	for {
		step, err := r.applyEffects(effects)
		if err != nil {
			r.streamer.Step(streamer.CallerCancelled{})
			return newFailure("write to caller", classifier.CauseCancelledAfterSend, err)
		}
		switch {
		case ctx.Err() != nil && !r.streamer.Closed():
			_, _ = r.applyEffects(r.streamer.Step(streamer.CallerCancelled{}))
			return r.cancellationFailure(ctx)
		case step.fail != "":
			return r.finalFailure()
		case r.streamer.Closed() || r.buffered != nil:
			return nil
		case step.retry:
			if !r.canRetry(ctx, step.resumeAfter) {
				return r.finalFailure()
			}
			effects = r.startAttempt(ctx, step.resumeAfter)
		default:
			effects = r.readEvent()
		}
	}
}

// cancellationFailure returns the reason why the context of the request ended.
func (r *relay) cancellationFailure(ctx context.Context) error {
	if c := r.attempts.call; c != nil && r.attempts.worstFailure == nil {
		r.attempts.recordFailure(c.fail("relay stream", context.Cause(ctx)))
	}
	if worst := r.attempts.worstFailure; worst != nil {
		return worst
	}
	return newFailure("relay stream", cancellationCause(ctx), context.Cause(ctx))
}

// finalFailure returns the worst failure. After a partial delivery it is reported as an interrupted stream, unless the
// cause is a withdrawn residency.
func (r *relay) finalFailure() error {
	worst := r.attempts.worstFailure
	if r.headerSent && worst.kind != classifier.CauseResidencyWithdrawn {
		return newFailure("relay stream", classifier.CauseStreamInterrupted, worst)
	}
	return worst
}

// canRetry decides whether another attempt may follow. A stream that another gateway relayed cannot be resumed here,
// because that gateway chose the upstream.
func (r *relay) canRetry(ctx context.Context, after uint64) bool {
	if after > 0 && r.attempts.target.isForward() {
		return false
	}
	return r.attempts.awaitRetry(ctx)
}

// startAttempt makes one attempt that continues after a position.
func (r *relay) startAttempt(ctx context.Context, after uint64) []streamer.Effect {
	r.attemptNumber++
	effects := r.streamer.Step(streamer.Started{Attempt: r.attemptNumber})
	c, err := r.attempts.start(ctx, after)
	if err != nil {
		return append(effects, r.attemptBroken(err)...)
	}
	if c.response.StatusCode == http.StatusOK {
		r.events = newEventReader(c)
		return effects
	}
	if after > 0 {
		return append(effects, r.attemptBroken(c.failWith("resume stream", "upstream does not support resuming", 0))...)
	}
	buffered, err := readResponse(c)
	if err != nil {
		return append(effects, r.attemptBroken(err)...)
	}
	r.buffered = &buffered
	return effects
}

func (r *relay) attemptBroken(err error) []streamer.Effect {
	r.attempts.recordFailure(err)
	return r.streamer.Step(streamer.Broken{Attempt: r.attemptNumber})
}

// readEvent processes the next event of the current attempt.
func (r *relay) readEvent() []streamer.Effect {
	c := r.attempts.call
	c.resetInactivityTimer()
	start := time.Now()
	e, err := r.events.next()
	c.stopInactivityTimer()
	r.measureInterval(start)
	switch {
	case err != nil:
		return r.attemptBroken(c.fail("read stream", err))
	case e.name == "error":
		c.errorReported = true
		return r.attemptBroken(c.fail("read stream", eris.New("upstream reported an error")))
	case e.isDone():
		return r.streamer.Step(streamer.Ended{Attempt: r.attemptNumber})
	}
	return r.streamer.Step(streamer.Chunk{Attempt: r.attemptNumber, ID: e.id, Data: e.data})
}

// measureInterval records the wait for a token after the first one.
func (r *relay) measureInterval(start time.Time) {
	u := r.attempts.target.upstream
	if u == nil || r.streamer.Position() == 0 {
		return
	}
	now := time.Now()
	if r.intervals.add(now, now.Sub(start)) {
		r.attempts.gateway.reportIntervals(u, &r.intervals)
	}
}

func (r *relay) applyEffects(effects []streamer.Effect) (nextStep, error) {
	var step nextStep
	for _, effect := range effects {
		switch e := effect.(type) {
		case streamer.Deliver:
			r.attempts.call.delivered = true
			if err := r.writeEvent(e.Position, "", e.Data); err != nil {
				return step, err
			}
			if e.Position == 1 {
				r.attempts.recordFirstToken()
			}
		case streamer.Finish:
			if err := r.writeEvent(0, "", []byte(doneMarker)); err != nil {
				return step, err
			}
		case streamer.Cancel:
			r.cancelCall()
		case streamer.Restart:
			step = nextStep{retry: true}
		case streamer.Resume:
			step = nextStep{retry: true, resumeAfter: e.After}
		case streamer.Fail:
			step = nextStep{fail: e.Kind}
		}
	}
	return step, nil
}

// cancelCall cancels the current call. The streamer detects gaps, so the failure of such an attempt is recorded here.
func (r *relay) cancelCall() {
	c := r.attempts.call
	if c == nil {
		return
	}
	if c.ctx.Err() == nil {
		r.attempts.recordFailure(c.fail("read stream", eris.New("stream has a gap")))
	}
	c.close()
}

// writeEvent sends one event to the caller and blocks until it is written, so that a slow caller slows only its own
// upstream.
func (r *relay) writeEvent(id uint64, name string, data []byte) error {
	if !r.headerSent {
		r.headerSent = true
		r.w.Header().Set("Content-Type", contentTypeEvents)
		r.w.Header().Set("Cache-Control", "no-cache")
		r.w.WriteHeader(http.StatusOK)
	}
	r.buffer = appendEvent(r.buffer[:0], id, name, data)
	_ = r.control.SetWriteDeadline(writeDeadline())
	if _, err := r.w.Write(r.buffer); err != nil {
		return eris.Wrap(err, "write event")
	}
	return eris.Wrap(r.control.Flush(), "flush event")
}

// writeError ends a stream that cannot be completed. The end marker is not sent.
func (r *relay) writeError(f *failure) {
	text, err := json.Marshal(newProblem(f, r.attempts.request.id, r.attempts.request.keyStatus))
	if err != nil {
		return
	}
	_ = r.writeEvent(0, "error", text)
}

func writeDeadline() time.Time {
	return time.Now().Add(writeTimeout)
}

// recordFirstToken records the arrival of the first token.
func (a *attempts) recordFirstToken() {
	if !a.target.isForward() {
		a.gateway.scheduler.notifyRouter(router.FirstToken{Upstream: identity(a.target.upstream), RequestID: a.request.id})
	}
	a.gateway.publish(a.request, phaseFirstToken, a.target, nil)
}

// recordCompletion records the end of a complete response.
func (a *attempts) recordCompletion(tokens int) {
	if !a.target.isForward() {
		a.gateway.scheduler.notifyRouter(router.RequestCompleted{Upstream: identity(a.target.upstream), RequestID: a.request.id, OutputTokens: tokens})
		a.gateway.scheduler.requestEnded(a.request, true)
	}
	a.request.outputTokens = tokens
	a.gateway.publish(a.request, phaseEnded, a.target, nil)
}
