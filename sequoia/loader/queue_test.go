package loader

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter blocks writes until open is closed.
type blockingWriter struct {
	open    chan struct{}
	written bytes.Buffer
}

// Write blocks until open is closed.
func (b *blockingWriter) Write(line []byte) (int, error) {
	<-b.open
	return b.written.Write(line)
}

// Guards against a blocked log reader that delays the requests that log.
func TestQueuedWriterNeverBlocks(t *testing.T) {
	b := &blockingWriter{open: make(chan struct{})}
	w := NewQueuedWriter(b)
	for range maxQueuedLines + 10 {
		_, err := w.Write([]byte("x"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() > 0)
	close(b.open)
	assert.NilError(t, w.Close())
	assert.Assert(t, b.written.Len() >= maxQueuedLines)
}
