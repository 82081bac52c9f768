package answerer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/forwarder"
)

const (
	// answerBytes bounds the answers that are read whole before a byte is passed on.
	answerBytes = 4 << 20
	// refusalBytes bounds what is read of a refusal to keep its connection.
	refusalBytes = 64 << 10
)

// streamState is what the caller has of a stream.
type streamState struct {
	started   bool
	lastID    string
	lastEvent time.Time
}

// resumeFrom is the last event that the next upstream must continue after.
func (j *job) resumeFrom() string {
	if j.stream.lastID != "" {
		return j.stream.lastID
	}
	return j.about.LastEvent
}

// relay passes a response on. It reports the result for the upstream and whether another attempt should follow.
func (j *job) relay(ctx context.Context, response *forwarder.Response, verdict ResponseInfo, first func()) (dispatcher.Result, bool) {
	good := response.StatusCode < http.StatusMultipleChoices
	if good && !verdict.FromUpstream {
		return j.notGenuine(ctx)
	}
	if good && j.route.Class == director.ClassStream {
		return j.relayStream(ctx, response, first)
	}
	return j.relayWhole(ctx, response, good)
}

// notGenuine handles a success that no upstream vouches for: it is never passed on.
func (j *job) notGenuine(ctx context.Context) (dispatcher.Result, bool) {
	j.logSend(newError("check response", KindBroken, "the response lacks the mark of an upstream"), "foreign")
	if j.route.Retryable() {
		return dispatcher.ResultFailed, true
	}
	j.giveUp(ctx, "foreign-answer")
	return dispatcher.ResultFailed, false
}

// relayWhole reads the answer to its end before the caller gets a byte: one that breaks off never looks whole.
func (j *job) relayWhole(ctx context.Context, response *forwarder.Response, good bool) (dispatcher.Result, bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerBytes+1))
	if err == nil && len(body) > answerBytes {
		err = newError("read answer", KindTooLarge, "the answer is larger than its bound")
	}
	if err != nil {
		return j.broken(ctx, err)
	}
	if j.stream.started {
		j.breakOff("resume-failed")
		return dispatcher.ResultFailed, false
	}
	answer := wholeAnswer{status: response.StatusCode, header: response.Header, body: body}
	if !good && response.StatusCode >= http.StatusInternalServerError && j.mayRepeat() {
		j.failure = &answer
		return dispatcher.ResultFailed, true
	}
	j.deliver(answer)
	if good {
		return dispatcher.ResultComplete, false
	}
	return dispatcher.ResultFailed, false
}

// wholeAnswer is an answer of an upstream that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes an answer on as it is.
func (j *job) deliver(answer wholeAnswer) {
	j.copyAnswer(answer.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	j.outcome.status = answer.status
	if answer.status >= http.StatusMultipleChoices {
		j.outcome.cause = "upstream-failed"
	}
	j.w.WriteHeader(answer.status)
	// The caller is gone when this fails; the server closes the connection.
	_, _ = j.w.Write(answer.body)
}

// mayRepeat reports whether a request that an upstream ran and failed may be sent once more.
func (j *job) mayRepeat() bool {
	return j.route.Retryable() && j.attempts > 0 && time.Until(j.ends) > leastSend
}

// broken handles an answer that ended too early.
func (j *job) broken(ctx context.Context, err error) (dispatcher.Result, bool) {
	if ctx.Err() != nil {
		j.giveUp(ctx, "time-over")
		return dispatcher.ResultCancelled, false
	}
	j.logSend(err, "broken")
	j.a.suspects.note(j)
	// The VM that the caller is connected to continues a stream; it knows what the caller has.
	if j.route.Retryable() && (!j.forwarded() || !j.stream.started) {
		return dispatcher.ResultFailed, true
	}
	j.giveUp(ctx, "answer-broken")
	return dispatcher.ResultFailed, false
}

// relayStream passes whole events on as they arrive.
func (j *job) relayStream(ctx context.Context, response *forwarder.Response, first func()) (dispatcher.Result, bool) {
	events := newEventReader(response.Body)
	controller := http.NewResponseController(j.w)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			j.start(response)
			return dispatcher.ResultComplete, false
		}
		if err != nil {
			return j.broken(ctx, err)
		}
		if first != nil {
			first()
			first = nil
		}
		j.noteEvent(time.Now())
		j.start(response)
		if _, err := j.w.Write(next.data); err != nil {
			j.outcome.cause = "caller-left"
			return dispatcher.ResultCancelled, false
		}
		if next.id != "" {
			j.stream.lastID = next.id
		}
		if err := controller.Flush(); err != nil {
			j.outcome.cause = "caller-left"
			return dispatcher.ResultCancelled, false
		}
	}
}

// noteEvent keeps the time to the first event and the longest pause for the log.
func (j *job) noteEvent(now time.Time) {
	if j.outcome.first == 0 {
		j.outcome.first = now.Sub(j.arrived)
	} else {
		j.outcome.gap = max(j.outcome.gap, now.Sub(j.stream.lastEvent))
	}
	j.stream.lastEvent = now
}

// start sends the header of the first upstream; a stream that is continued keeps it.
func (j *job) start(response *forwarder.Response) {
	if j.stream.started {
		return
	}
	j.stream.started = true
	j.outcome.status = response.StatusCode
	j.copyAnswer(response.Header)
	j.w.WriteHeader(response.StatusCode)
}

// copyAnswer passes the header of an answer on, and between VMs the attempts that are left.
func (j *job) copyAnswer(from http.Header) {
	to := j.w.Header()
	closing := to.Get("Connection")
	forwarder.CopyHeader(to, from)
	to.Del(headerOutcome)
	to.Del(headerAttempts)
	to.Del(headerArrivals)
	j.stateAttempts()
	if closing != "" {
		to.Set("Connection", closing)
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value keeps the server from guessing a type.
		to["Content-Type"] = nil
	}
}

// stateAttempts tells the VM that forwarded the request how many upstreams it may still be sent to, and how many it has
// reached.
func (j *job) stateAttempts() {
	if j.forwarded() {
		j.w.Header().Set(headerAttempts, strconv.Itoa(max(0, j.attempts)))
		j.w.Header().Set(headerArrivals, strconv.Itoa(j.arrivals))
	}
}

// drain reads the rest of a refusal, so that its connection can be kept.
func drain(response *forwarder.Response) {
	// A connection that cannot be read to the end is closed instead.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, refusalBytes))
}
