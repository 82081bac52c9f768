package answerer

import (
	"errors"
	"io"
	"net"
	"strconv"

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

// relayUnbuffered passes on a response for which no memory is left, of which a part was read. The response is ready, so it
// is delivered; if it breaks off, the caller's connection is closed before its end.
func (j *job) relayUnbuffered(response *forwarder.Response, read []byte, success bool) dispatcher.Result {
	j.copyResponseHeader(response.Header)
	if response.ContentLength >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	j.outcome.status = response.StatusCode
	j.w.WriteHeader(response.StatusCode)
	if _, err := j.w.Write(read); err != nil {
		j.outcome.cause = "caller-left"
		return dispatcher.ResultCancelled
	}
	rest := &trackedReader{reader: response.Body}
	limit := maxResponseBytes - int64(len(read))
	_, err := io.CopyN(j.w, rest, limit+1)
	switch {
	case errors.Is(rest.err, io.EOF) && success:
		return dispatcher.ResultComplete
	case errors.Is(rest.err, io.EOF):
		j.outcome.cause = "upstream-failed"
		return dispatcher.ResultFailed
	case err == nil:
		err = newError("read response", KindTooLarge, "the response exceeds the size limit")
	case rest.err == nil:
		j.outcome.cause = "caller-left"
		return dispatcher.ResultCancelled
	}
	j.logSendFailure(err, "broken")
	j.a.crashes.probeUpstream(j)
	j.abort("answer-broken")
	return lostResult(err)
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
