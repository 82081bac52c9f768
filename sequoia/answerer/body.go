package answerer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/allotter"
)

const (
	// discardTime is how long a connection stays open after a refusal, and maxDiscardedBytes how much of the body is read
	// in it. Closing a connection on which bytes arrive resets it, and the caller may lose the response.
	discardTime       = 500 * time.Millisecond
	maxDiscardedBytes = 64 << 10
	// writeBytes is how much of a buffered response is written at a time. It is half a second at the rate below which the
	// memory may be reclaimed, so that a caller at that rate shows its progress in time.
	writeBytes = 32 << 10
)

// past is a deadline that has passed, which ends a read or write in progress.
var past = time.Unix(1, 0)

// errReclaimed means that the memory of a body was reclaimed after its last byte had arrived.
var errReclaimed = &allotter.Error{Op: "read body", Kind: allotter.KindNoMemory}

// readBody reads the body until the deadline of the request. It answers the request itself and returns false if the body
// is not whole.
func (j *job) readBody(limit int) bool {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	err := j.receiveBody(int64(limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case isKind(err, allotter.KindNoMemory):
		j.closeWithBody()
		j.refuse(causeNoMemory, shortRetryAfter+time.Duration(float64(returnSpread)*randomFraction()))
	case errors.As(err, &tooLarge), isKind(err, allotter.KindTooLarge):
		j.closeWithBody()
		j.reply(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.closeWithBody()
		j.setNotRun(causeBodyTimeout)
		j.reply(http.StatusRequestTimeout, causeBodyTimeout)
	default:
		j.closeWithBody()
		j.reply(http.StatusBadRequest, "body-incomplete")
	}
	return false
}

// receiveBody reads the body. While it arrives, its reservation is reclaimable.
func (j *job) receiveBody(limit int64) (err error) {
	if j.r.ContentLength == 0 {
		return nil
	}
	reservation := j.reserve(allotter.Caller(j.callerHost()))
	if j.r.ContentLength <= limit {
		controller := http.NewResponseController(j.w)
		// Without deadlines, as in a test of a handler, only the caller ends the read.
		_ = controller.SetReadDeadline(j.deadline)
		reservation.SetReclaimable(j.arrived, func() { _ = controller.SetReadDeadline(past) })
		defer func() {
			if reclaimed := !reservation.SetBusy(); reclaimed && err == nil {
				err = errReclaimed
			}
			if err != nil {
				return
			}
			// The server reads on after the body, and takes a deadline that passes for the end of the connection.
			_ = controller.SetReadDeadline(time.Time{})
			if !time.Now().Before(j.deadline) {
				err = os.ErrDeadlineExceeded
			}
		}()
	}
	j.body, err = reservation.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit), j.r.ContentLength, limit)
	return err
}

// closeWithBody closes the connection after the response if the request has a body, which is not read to its end.
func (j *job) closeWithBody() {
	if j.r.ContentLength != 0 {
		j.w.Header().Set("Connection", "close")
		j.unreadBody = true
	}
}

// discardBody sends the response to a request whose body was not read to its end, and waits for a short time so that the
// caller can read it.
func (j *job) discardBody() {
	controller := http.NewResponseController(j.w)
	deadline := time.Now().Add(discardTime)
	if controller.Flush() != nil || controller.SetReadDeadline(deadline) != nil {
		return
	}
	var err error
	if j.r.ContentLength <= maxDiscardedBytes {
		_, err = io.CopyN(io.Discard, j.r.Body, maxDiscardedBytes)
	}
	// A chunked body repeats the error of the deadline of its request.
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(time.Until(deadline))
	}
	// The server reads on after the end of the handler, which this prevents.
	_ = controller.SetReadDeadline(past)
}

// writeBuffered relays the buffered response, if there is one, unchanged. The upstream and its connection are no longer
// in use, so that a caller that reads slowly holds only memory, which may be reclaimed.
func (j *job) writeBuffered() {
	response := j.buffered
	if response == nil {
		return
	}
	j.body = nil
	for _, reservation := range j.reserved {
		if reservation != response.reservation {
			reservation.Release()
		}
	}
	j.copyResponseHeader(response.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	j.outcome.status = response.status
	if response.status >= http.StatusMultipleChoices {
		j.outcome.cause = "upstream-failed"
	}
	controller := http.NewResponseController(j.w)
	response.reservation.SetReclaimable(time.Now(), func() { _ = controller.SetWriteDeadline(past) })
	j.w.WriteHeader(response.status)
	j.writeParts(response)
	if !response.reservation.SetBusy() {
		j.abort(causeReclaimed)
	}
}

// writeParts writes the body of a response in parts, which show the progress of the caller. The caller has disconnected
// if that fails; the server closes the connection.
func (j *job) writeParts(response *bufferedResponse) {
	for rest := response.body; len(rest) > 0; {
		n, err := j.w.Write(rest[:min(len(rest), writeBytes)])
		if err != nil {
			return
		}
		response.reservation.Progress(n)
		rest = rest[n:]
	}
}
