package allotter

import (
	"errors"
	"io"
	"time"
)

// firstBytes is the first size of the buffer for a body of unknown length.
const firstBytes = 4 << 10

// MaxAhead is how far a transfer may be ahead of one at ReclaimRate. What came faster before does not make up for a stall
// that is longer by MinReclaimLag, or a large body that stops short of its end would keep its memory for a minute. A few
// lost packets stall a sound one for less.
const MaxAhead = 2 * time.Second

// ReadAll reads a body and reserves the memory for it before that is used. The length is -1 if it is not known. After an
// error it returns what was read. The bytes count as progress of the reservation, which gets no further ahead than
// MaxAhead; if it was reclaimed and the read failed for that, the error is KindNoMemory.
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

// limitAhead lowers the progress of a reservation that is further ahead than MaxAhead.
func (r *Reservation) limitAhead() {
	a := r.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.onReclaim == nil {
		return
	}
	most := bytesIn(a.config.Now().Sub(r.since) + MaxAhead)
	r.transferred.Store(min(r.transferred.Load(), most))
}

// bytesIn returns the bytes that a transfer at ReclaimRate takes a time for.
func bytesIn(duration time.Duration) int64 {
	return int64(duration.Seconds() * ReclaimRate)
}
