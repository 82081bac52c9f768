package answerer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"sequoiaspread.example/sequoia/allotter"
)

const (
	eventBufferSize = 4 << 10
	// maxEventBytes limits the memory that one event of a faulty upstream can take.
	maxEventBytes = 1 << 20
)

// event is one complete event of a stream, including the empty line that ends it.
type event struct {
	data []byte
	id   string
}

// eventReader splits a stream into complete events; the rest of a truncated one is never returned.
type eventReader struct {
	reader *bufio.Reader
	// reservation is the memory for an event; nil if that is not limited.
	reservation *allotter.Reservation
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferSize)}
}

// next returns the next event, or the empty lines after the last one. io.EOF means that the stream ended between two
// events.
func (r *eventReader) next() (event, error) {
	var e event
	lineStart := 0
	hasFields := false
	for {
		// A line longer than the buffer comes in several parts.
		part, err := r.reader.ReadSlice('\n')
		e.data = append(e.data, part...)
		switch {
		case len(e.data) > maxEventBytes:
			return event{}, newError("read event", KindTooLarge, "an event exceeds the size limit")
		case r.reservation != nil && !r.reservation.Grow(int64(len(e.data))):
			return event{}, newError("read event", KindNoMemory, "no memory is left for an event")
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(e.data) == 0:
			return event{}, io.EOF
		case err == io.EOF && len(bytes.TrimRight(e.data, "\r\n")) == 0:
			return e, nil
		case err == io.EOF:
			return event{}, newError("read event", KindBroken, "the stream ended within an event")
		case err != nil:
			return event{}, wrapError("read event", KindBroken, err)
		}
		line := bytes.TrimRight(e.data[lineStart:], "\r\n")
		lineStart = len(e.data)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = strings.TrimSpace(string(id))
		}
		if len(line) == 0 && hasFields {
			return e, nil
		}
		hasFields = hasFields || len(line) > 0
	}
}
