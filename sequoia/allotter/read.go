package allotter

import (
	"errors"
	"io"
)

// firstBytes is the first size of the buffer for a body of unknown length.
const firstBytes = 4 << 10

// ReadAll reads a body and reserves the memory for it before that is used. The length is -1 if it is not known. After an
// error it returns what was read. The bytes count as progress of the reservation; if it was reclaimed and the read failed
// for that, the error is KindNoMemory.
func (r *Reservation) ReadAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, readError(KindTooLarge)
	}
	// One byte more than the body has room for shows its end.
	size := length + 1
	if length < 0 {
		size = min(firstBytes, limit+1)
	}
	var buffer []byte
	for {
		if !r.Grow(size) {
			return buffer, readError(KindNoMemory)
		}
		grown := make([]byte, len(buffer), size)
		copy(grown, buffer)
		var err error
		buffer, err = r.fill(body, grown)
		switch {
		case int64(len(buffer)) > limit:
			return buffer, readError(KindTooLarge)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil && r.wasReclaimed():
			return buffer, readError(KindNoMemory)
		case err != nil:
			return buffer, err
		}
		size = min(2*size, limit+1)
	}
}

// fill reads until a buffer is full or the body ends.
func (r *Reservation) fill(body io.Reader, buffer []byte) ([]byte, error) {
	for len(buffer) < cap(buffer) {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.Progress(n)
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}
