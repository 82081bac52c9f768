package answerer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/forwarder"
)

// reserve returns an empty reservation that lasts until the end of the request.
func (j *job) reserve(holder allotter.Holder) *allotter.Reservation {
	reservation := j.a.memory.Reserve(holder)
	j.reserved = append(j.reserved, reservation)
	return reservation
}

func (j *job) releaseMemory() {
	for _, reservation := range j.reserved {
		reservation.Release()
	}
}

// callerHost returns the host that the request came from: that of a caller, or of the entry VM that forwarded it.
func (j *job) callerHost() string {
	host, _, err := net.SplitHostPort(j.r.RemoteAddr)
	if err != nil {
		return j.r.RemoteAddr
	}
	return host
}

// unbufferedStall is how long a caller may read nothing of a response that is not buffered, which keeps its upstream in use
// meanwhile. It is the lag from which memory is taken back from callers, as there is none left.
const unbufferedStall = time.Second

// relayUnbuffered passes on a response for which no memory is left, of which a part was read. The response is ready, so it
// is delivered; if it breaks off or the caller does not read, the caller's connection is closed before its end.
func (j *job) relayUnbuffered(response *forwarder.Response, read []byte, success bool) dispatcher.Result {
	j.copyResponseHeader(response.Header)
	if response.ContentLength >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	j.outcome.status = response.StatusCode
	j.w.WriteHeader(response.StatusCode)
	caller := &promptWriter{writer: j.w, controller: http.NewResponseController(j.w)}
	defer caller.end()
	if _, err := caller.Write(read); err != nil {
		return j.abandonUnbuffered(err)
	}
	rest := &trackedReader{reader: response.Body}
	limit := maxResponseBytes - int64(len(read))
	_, err := io.CopyN(caller, rest, limit+1)
	switch {
	case errors.Is(rest.err, io.EOF) && success:
		return dispatcher.ResultComplete
	case errors.Is(rest.err, io.EOF):
		j.outcome.cause = "upstream-failed"
		return dispatcher.ResultFailed
	case err == nil:
		err = newError("read response", KindTooLarge, "the response exceeds the size limit")
	case rest.err == nil:
		return j.abandonUnbuffered(err)
	}
	j.logSendFailure(err, "broken")
	j.a.crashes.probeUpstream(j)
	j.abort("answer-broken")
	return lostResult(err)
}

// abandonUnbuffered ends a response that could not be written to the caller.
func (j *job) abandonUnbuffered(err error) dispatcher.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		j.abort(causeReclaimed)
		return dispatcher.ResultCancelled
	}
	j.outcome.cause = "caller-left"
	return dispatcher.ResultCancelled
}

// promptWriter writes to a caller that has to read a part of writeBytes within unbufferedStall.
type promptWriter struct {
	writer     io.Writer
	controller *http.ResponseController
}

// Write writes in parts, each with a deadline of its own.
func (w *promptWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		// Without deadlines, as in a test of a handler, only the caller ends the write.
		_ = w.controller.SetWriteDeadline(time.Now().Add(unbufferedStall))
		n, err := w.writer.Write(data[written:min(len(data), written+writeBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// end removes the deadline, which would also end the next response on the connection.
func (w *promptWriter) end() {
	_ = w.controller.SetWriteDeadline(time.Time{})
}

// isKind reports whether a body was not read for a reason.
func isKind(err error, kind allotter.Kind) bool {
	var failure *allotter.Error
	return errors.As(err, &failure) && failure.Kind == kind
}

// trackedReader keeps the last error of a reader, to tell it from one of the writer.
type trackedReader struct {
	reader io.Reader
	err    error
}

// Read reads from the reader.
func (r *trackedReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	r.err = err
	return n, err
}
