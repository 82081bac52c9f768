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
	// maxAnswerBytes limits the answers that are buffered completely before a byte is relayed.
	maxAnswerBytes = 4 << 20
	// maxRefusalBytes limits how much of a refusal is read so that its connection can be reused.
	maxRefusalBytes = 64 << 10
)

// streamState is the part of a stream that the caller has received.
type streamState struct {
	started     bool
	lastID      string
	lastEventAt time.Time
}

// resumeFrom returns the ID of the event after which the next upstream must continue.
func (j *job) resumeFrom() string {
	if j.stream.lastID != "" {
		return j.stream.lastID
	}
	return j.info.LastEvent
}

// relay passes a response on to the caller. It returns the result for the upstream and whether another attempt should
// follow.
func (j *job) relay(ctx context.Context, response *forwarder.Response, info ResponseInfo, onFirstEvent func()) (dispatcher.Result, bool) {
	success := response.StatusCode < http.StatusMultipleChoices
	if success && !info.FromUpstream {
		return j.rejectUnverified(ctx)
	}
	if success && j.route.Class == director.ClassStream {
		return j.relayStream(ctx, response, onFirstEvent)
	}
	return j.relayBuffered(ctx, response, success)
}

// rejectUnverified handles a successful response without the marker of an upstream, which is never relayed.
func (j *job) rejectUnverified(ctx context.Context) (dispatcher.Result, bool) {
	j.logSendFailure(newError("check response", KindBroken, "the response carries no upstream marker"), "foreign")
	if j.route.Retryable() {
		return dispatcher.ResultFailed, true
	}
	j.giveUp(ctx, "foreign-answer")
	return dispatcher.ResultFailed, false
}

// relayBuffered reads the complete answer before the caller gets a byte, so that a truncated answer is never taken for
// complete.
func (j *job) relayBuffered(ctx context.Context, response *forwarder.Response, success bool) (dispatcher.Result, bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = newError("read answer", KindTooLarge, "the answer exceeds the size limit")
	}
	if err != nil {
		return j.handleBrokenAnswer(ctx, err)
	}
	if j.stream.started {
		j.abort("resume-failed")
		return dispatcher.ResultFailed, false
	}
	answer := bufferedAnswer{status: response.StatusCode, header: response.Header, body: body}
	if !success && response.StatusCode >= http.StatusInternalServerError && j.mayRetry() {
		j.lastFailure = &answer
		return dispatcher.ResultFailed, true
	}
	j.writeAnswer(answer)
	if success {
		return dispatcher.ResultComplete, false
	}
	return dispatcher.ResultFailed, false
}

// bufferedAnswer is an answer of an upstream that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// writeAnswer relays a buffered answer unchanged.
func (j *job) writeAnswer(answer bufferedAnswer) {
	j.copyAnswerHeader(answer.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	j.outcome.status = answer.status
	if answer.status >= http.StatusMultipleChoices {
		j.outcome.cause = "upstream-failed"
	}
	j.w.WriteHeader(answer.status)
	// The caller has disconnected if this fails; the server closes the connection.
	_, _ = j.w.Write(answer.body)
}

// mayRetry reports whether a request that an upstream ran and failed may be sent again.
func (j *job) mayRetry() bool {
	return j.route.Retryable() && j.attemptsLeft > 0 && time.Until(j.deadline) > minSendTime
}

// handleBrokenAnswer handles an answer that ended early.
func (j *job) handleBrokenAnswer(ctx context.Context, err error) (dispatcher.Result, bool) {
	if ctx.Err() != nil {
		j.giveUp(ctx, "time-over")
		return dispatcher.ResultCancelled, false
	}
	j.logSendFailure(err, "broken")
	j.a.crashes.probeUpstream(j)
	// The VM that the caller is connected to resumes a stream, because it knows what the caller has received.
	if j.route.Retryable() && (!j.forwarded() || !j.stream.started) {
		return dispatcher.ResultFailed, true
	}
	j.giveUp(ctx, "answer-broken")
	return dispatcher.ResultFailed, false
}

// relayStream relays complete events as they arrive.
func (j *job) relayStream(ctx context.Context, response *forwarder.Response, onFirstEvent func()) (dispatcher.Result, bool) {
	events := newEventReader(response.Body)
	controller := http.NewResponseController(j.w)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			j.startStream(response)
			return dispatcher.ResultComplete, false
		}
		if err != nil {
			return j.handleBrokenAnswer(ctx, err)
		}
		if onFirstEvent != nil {
			onFirstEvent()
			onFirstEvent = nil
		}
		j.recordEvent(time.Now())
		j.startStream(response)
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

// recordEvent updates the time to the first event and the longest pause for the log.
func (j *job) recordEvent(now time.Time) {
	if j.outcome.firstEvent == 0 {
		j.outcome.firstEvent = now.Sub(j.arrived)
	} else {
		j.outcome.maxGap = max(j.outcome.maxGap, now.Sub(j.stream.lastEventAt))
	}
	j.stream.lastEventAt = now
}

// startStream sends the header of the first response; a resumed stream keeps it.
func (j *job) startStream(response *forwarder.Response) {
	if j.stream.started {
		return
	}
	j.stream.started = true
	j.outcome.status = response.StatusCode
	j.copyAnswerHeader(response.Header)
	j.w.WriteHeader(response.StatusCode)
}

// copyAnswerHeader copies the header of an answer and, between entry VMs, adds the attempts that are left.
func (j *job) copyAnswerHeader(from http.Header) {
	to := j.w.Header()
	connection := to.Get("Connection")
	forwarder.CopyHeader(to, from)
	to.Del(headerOutcome)
	to.Del(headerAttempts)
	to.Del(headerArrivals)
	j.setAttemptHeaders()
	if connection != "" {
		to.Set("Connection", connection)
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value prevents the server from guessing a type.
		to["Content-Type"] = nil
	}
}

// setAttemptHeaders tells the VM that forwarded the request how many upstreams it may still be sent to, and how often
// it may have reached one.
func (j *job) setAttemptHeaders() {
	if j.forwarded() {
		j.w.Header().Set(headerAttempts, strconv.Itoa(max(0, j.attemptsLeft)))
		j.w.Header().Set(headerArrivals, strconv.Itoa(j.arrivals))
	}
}

// discardBody reads the rest of a refusal, so that its connection can be reused.
func discardBody(response *forwarder.Response) {
	// If the rest cannot be read, the connection is closed instead.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
}
