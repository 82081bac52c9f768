package loader

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is a writer that waits until it is opened.
type gate struct {
	open    chan struct{}
	written bytes.Buffer
}

// Write waits for the gate.
func (g *gate) Write(line []byte) (int, error) {
	<-g.open
	return g.written.Write(line)
}

// Guards against a reader of the log that stands still and with it stops the requests that log.
func TestQueuedWriterNeverWaits(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewQueuedWriter(g)
	for range queuedLines + 10 {
		_, err := w.Write([]byte("x"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() > 0)
	close(g.open)
	assert.NilError(t, w.Close())
	assert.Assert(t, g.written.Len() >= queuedLines)
}
