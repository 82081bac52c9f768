package answerer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/forwarder"
)

// maxResponseBytes limits the responses that are buffered completely before a byte is relayed.
const maxResponseBytes = 4 << 20

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

// relay passes a response on to the caller, or keeps it until the upstream is released, and closes it. It returns the
// result for the upstream and whether another attempt should follow.
func (j *job) relay(ctx context.Context, response *forwarder.Response, info ResponseInfo, onFirstEvent func()) (dispatcher.Result, bool) {
	defer response.Close()
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

// relayBuffered reads the complete response before the caller gets a byte, so that a truncated response is never taken
// for complete.
func (j *job) relayBuffered(ctx context.Context, response *forwarder.Response, success bool) (dispatcher.Result, bool) {
	reservation := j.reserve(allotter.Upstream(j.outcome.upstream))
	body, err := reservation.ReadAll(response.Body, response.ContentLength, maxResponseBytes)
	switch {
	case isKind(err, allotter.KindNoMemory) && !j.stream.started:
		return j.relayUnbuffered(response, body, success), false
	case isKind(err, allotter.KindTooLarge):
		err = newError("read response", KindTooLarge, "the response exceeds the size limit")
	}
	if err != nil {
		reservation.Release()
		return j.handleBrokenResponse(ctx, err)
	}
	if j.stream.started {
		j.abort("resume-failed")
		return dispatcher.ResultFailed, false
	}
	buffered := bufferedResponse{status: response.StatusCode, header: response.Header, body: body, reservation: reservation}
	if !success && response.StatusCode >= http.StatusInternalServerError && j.mayRetry() {
		j.lastFailure = &buffered
		return dispatcher.ResultFailed, true
	}
	j.buffered = &buffered
	if success {
		return dispatcher.ResultComplete, false
	}
	return dispatcher.ResultFailed, false
}

// bufferedResponse is a response of an upstream that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// reservation is the memory of the body.
	reservation *allotter.Reservation
}

// mayRetry reports whether a request that an upstream ran and failed may be sent again.
func (j *job) mayRetry() bool {
	return j.route.Retryable() && j.attemptsLeft > 0 && time.Until(j.deadline) > minSendTime
}

// handleBrokenResponse handles a response that ended early.
func (j *job) handleBrokenResponse(ctx context.Context, err error) (dispatcher.Result, bool) {
	if ctx.Err() != nil {
		j.giveUp(ctx, "time-over")
		return dispatcher.ResultCancelled, false
	}
	j.logSendFailure(err, "broken")
	j.a.crashes.probeUpstream(j)
	// The VM that the caller is connected to resumes a stream, because it knows what the caller has received.
	result := lostResult(err)
	if j.route.Retryable() && (!j.forwarded() || !j.stream.started) {
		return result, true
	}
	j.giveUp(ctx, "answer-broken")
	return result, false
}

// relayStream relays complete events as they arrive.
func (j *job) relayStream(ctx context.Context, response *forwarder.Response, onFirstEvent func()) (dispatcher.Result, bool) {
	events := newEventReader(response.Body)
	events.reservation = j.reserve(allotter.Upstream(j.outcome.upstream))
	controller := http.NewResponseController(j.w)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			j.startStream(response)
			return dispatcher.ResultComplete, false
		}
		if err != nil {
			return j.handleBrokenResponse(ctx, err)
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
	j.pinStream()
	j.outcome.status = response.StatusCode
	j.copyResponseHeader(response.Header)
	j.w.WriteHeader(response.StatusCode)
}

// copyResponseHeader copies the header of a response and, between entry VMs, adds the remaining attempts.
func (j *job) copyResponseHeader(from http.Header) {
	to := j.w.Header()
	connection := to.Get("Connection")
	forwarder.CopyHeader(to, from)
	to.Del(headerOutcome)
	to.Del(headerReason)
	to.Del(headerAttempts)
	to.Del(headerArrivals)
	to.Del(headerVersion)
	j.setAttemptHeaders()
	if connection != "" {
		to.Set("Connection", connection)
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value prevents the server from guessing a type.
		to["Content-Type"] = nil
	}
}

// setAttemptHeaders tells the VM that forwarded the request how many upstreams it may still be sent to, how often it may
// have reached one, and the version of the one that answers.
func (j *job) setAttemptHeaders() {
	if j.forwarded() {
		j.w.Header().Set(headerAttempts, strconv.Itoa(max(0, j.attemptsLeft)))
		j.w.Header().Set(headerArrivals, strconv.Itoa(j.arrivals))
		setPin(j.w.Header(), j.answeredBy)
	}
}
