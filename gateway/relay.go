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

// relay passes one streamed answer to the caller, over as many attempts as it takes.
type relay struct {
	attempts  *attempts
	w         http.ResponseWriter
	control   *http.ResponseController
	streamer  *streamer.Streamer
	events    *eventReader
	meter     intervalMeter
	attempt   uint64
	buffer    []byte
	committed bool
	// plain is set when the upstream answered with something else than a stream, which is passed on as it is.
	plain *answer
}

// next is what a set of effects asks for after they have been performed.
type next struct {
	again bool
	after uint64
	fail  streamer.FailKind
}

func (g *gateway) streamChat(ctx context.Context, w http.ResponseWriter, r *http.Request, a *attempts) {
	relay := &relay{
		attempts: a, w: w, control: http.NewResponseController(w),
		streamer: streamer.New(streamer.Config{Resumable: a.job.pool.ResumesStreams}),
	}
	err := relay.run(ctx)
	if a.call != nil {
		a.call.close()
	}
	if !a.target.forward() {
		g.reportIntervals(a.target.upstream, &relay.meter)
	}
	switch {
	case err == nil && relay.plain != nil:
		g.writeAnswer(w, a, *relay.plain)
	case err == nil:
		a.finished(int(relay.streamer.Position()))
	case !relay.committed:
		g.answerFailure(w, r, a.job, err)
	default:
		relay.writeError(asFailure(err))
		g.publish(a.job, phaseEnded, a.target, asFailure(err))
	}
}

// run relays until the answer is complete. The error says why it is not.
func (r *relay) run(ctx context.Context) error {
	effects := r.start(ctx, 0)
	for {
		wanted, err := r.perform(effects)
		if err != nil {
			r.streamer.Step(streamer.CallerGone{})
			return newFailure("write to caller", classifier.CauseCancelledAfterSend, err)
		}
		switch {
		case ctx.Err() != nil && !r.streamer.Closed():
			_, _ = r.perform(r.streamer.Step(streamer.CallerGone{}))
			return r.ended(ctx)
		case wanted.fail != "":
			return r.interrupted()
		case r.streamer.Closed() || r.plain != nil:
			return nil
		case wanted.again:
			if !r.mayContinue(ctx, wanted.after) {
				return r.interrupted()
			}
			effects = r.start(ctx, wanted.after)
		default:
			effects = r.read()
		}
	}
}

// ended names the reason for which the context of the request ended.
func (r *relay) ended(ctx context.Context) error {
	if c := r.attempts.call; c != nil && r.attempts.worst == nil {
		r.attempts.failed(c.fail("relay stream", context.Cause(ctx)))
	}
	if worst := r.attempts.worst; worst != nil {
		return worst
	}
	return newFailure("relay stream", causeOfEnd(ctx), context.Cause(ctx))
}

// interrupted returns the worst failure; one of a stream that was partly delivered is named as such.
func (r *relay) interrupted() error {
	worst := r.attempts.worst
	if r.committed && worst.kind != classifier.CauseResidencyWithdrawn {
		return newFailure("relay stream", classifier.CauseStreamInterrupted, worst)
	}
	return worst
}

// mayContinue decides whether another attempt may follow. A stream that another gateway relayed cannot be resumed here,
// because that gateway chose its upstream.
func (r *relay) mayContinue(ctx context.Context, after uint64) bool {
	if after > 0 && r.attempts.target.forward() {
		return false
	}
	return r.attempts.again(ctx)
}

// start makes one attempt that continues after a position.
func (r *relay) start(ctx context.Context, after uint64) []streamer.Effect {
	r.attempt++
	effects := r.streamer.Step(streamer.Started{Attempt: r.attempt})
	c, err := r.attempts.start(ctx, after)
	if err != nil {
		return append(effects, r.broken(err)...)
	}
	if c.response.StatusCode == http.StatusOK {
		r.events = newEventReader(c)
		return effects
	}
	if after > 0 {
		return append(effects, r.broken(c.failWith("resume stream", "upstream does not resume", 0))...)
	}
	whole, err := readAnswer(c)
	if err != nil {
		return append(effects, r.broken(err)...)
	}
	r.plain = &whole
	return effects
}

func (r *relay) broken(err error) []streamer.Effect {
	r.attempts.failed(err)
	return r.streamer.Step(streamer.Broken{Attempt: r.attempt})
}

// read takes the next event of the current attempt.
func (r *relay) read() []streamer.Effect {
	c := r.attempts.call
	c.heard()
	start := time.Now()
	e, err := r.events.next()
	c.pause()
	r.measure(start)
	switch {
	case err != nil:
		return r.broken(c.fail("read stream", err))
	case e.name == "error":
		c.failed = true
		return r.broken(c.fail("read stream", eris.New("upstream reported an error")))
	case e.done():
		return r.streamer.Step(streamer.Ended{Attempt: r.attempt})
	}
	return r.streamer.Step(streamer.Chunk{Attempt: r.attempt, ID: e.id, Data: e.data})
}

// measure counts the wait for a token after the first one.
func (r *relay) measure(start time.Time) {
	u := r.attempts.target.upstream
	if u == nil || r.streamer.Position() == 0 {
		return
	}
	now := time.Now()
	if r.meter.add(now, now.Sub(start)) {
		r.attempts.gateway.reportIntervals(u, &r.meter)
	}
}

func (r *relay) perform(effects []streamer.Effect) (next, error) {
	var wanted next
	for _, effect := range effects {
		switch e := effect.(type) {
		case streamer.Deliver:
			r.attempts.call.delivered = true
			if err := r.write(e.Position, "", e.Data); err != nil {
				return wanted, err
			}
			if e.Position == 1 {
				r.attempts.firstToken()
			}
		case streamer.Finish:
			if err := r.write(0, "", []byte(doneMarker)); err != nil {
				return wanted, err
			}
		case streamer.Cancel:
			r.cancel()
		case streamer.Restart:
			wanted = next{again: true}
		case streamer.Resume:
			wanted = next{again: true, after: e.After}
		case streamer.Fail:
			wanted = next{fail: e.Kind}
		}
	}
	return wanted, nil
}

// cancel ends the current call. A gap is found by the streamer, so the failure of its attempt is noted here.
func (r *relay) cancel() {
	c := r.attempts.call
	if c == nil {
		return
	}
	if c.ctx.Err() == nil {
		r.attempts.failed(c.fail("read stream", eris.New("stream has a gap")))
	}
	c.close()
}

// write sends one event to the caller and waits until the caller takes it, so a slow caller slows its upstream only.
func (r *relay) write(id uint64, name string, data []byte) error {
	if !r.committed {
		r.committed = true
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

// writeError ends a stream that cannot be completed; the end marker is not sent.
func (r *relay) writeError(f *failure) {
	text, err := json.Marshal(newProblem(f, r.attempts.job.id, r.attempts.job.standing))
	if err != nil {
		return
	}
	_ = r.write(0, "error", text)
}

func writeDeadline() time.Time {
	return time.Now().Add(writeTimeout)
}

// firstToken notes the arrival of the first token.
func (a *attempts) firstToken() {
	if !a.target.forward() {
		a.gateway.scheduler.tell(router.FirstToken{Upstream: identity(a.target.upstream), RequestID: a.job.id})
	}
	a.gateway.publish(a.job, phaseFirst, a.target, nil)
}

// finished notes the end of a whole answer.
func (a *attempts) finished(tokens int) {
	if !a.target.forward() {
		a.gateway.scheduler.tell(router.RequestCompleted{Upstream: identity(a.target.upstream), RequestID: a.job.id, OutputTokens: tokens})
		a.gateway.scheduler.ended(a.job, true)
	}
	a.job.outputTokens = tokens
	a.gateway.publish(a.job, phaseEnded, a.target, nil)
}
