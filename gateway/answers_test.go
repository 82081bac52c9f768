package main

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// repeatReader repeats a piece up to a size and counts what was read.
type repeatReader struct {
	piece string
	read  int
	size  int
}

// Read returns the next bytes.
func (r *repeatReader) Read(buffer []byte) (int, error) {
	if r.read >= r.size {
		return 0, io.EOF
	}
	for i := range buffer {
		buffer[i] = r.piece[(r.read+i)%len(r.piece)]
	}
	r.read += len(buffer)
	return len(buffer), nil
}

// Guards against an event of many short lines, or lines that hold no event, being read without limit.
func TestEventWithoutEndIsRefused(t *testing.T) {
	for name, piece := range map[string]string{
		"data lines": "data: x\n", "one line": "x", "comments": ": x\n", "empty lines": "\n", "comment events": ": x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			reader := &repeatReader{piece: piece, size: 64 << 20}
			_, err := newEventReader(reader).next()
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, io.EOF), "read to its end")
			// The buffer may hold as much again.
			assert.Assert(t, reader.read <= 2*maxEventBytes, "%d bytes", reader.read)
		})
	}
}

// Guards against an event that was cut off being passed on.
func TestCutEventIsNotReturned(t *testing.T) {
	reader := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	first, err := reader.next()
	assert.NilError(t, err)
	assert.Equal(t, string(first.data), "a")
	_, err = reader.next()
	assert.Assert(t, err != nil)
}

// Guards against a failure response of a plain service that is passed on as complete although its end is missing.
func TestLongFailureResponseIsPassedOnWhole(t *testing.T) {
	f := newFleet(t, "", "a-1")
	whole := strings.Repeat("x", 2*maxErrorBytes)
	f.addPlainService("a", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, whole)
	})
	f.start()
	response := f.book(f.firstGateway(), "key")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(readAll(t, response)), len(whole))
}
