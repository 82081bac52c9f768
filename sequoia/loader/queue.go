package loader

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines limits the number of log lines that wait for a slow log reader.
const maxQueuedLines = 4096

// QueuedWriter writes lines asynchronously from its own goroutine. Lines that do not fit in its queue are dropped and
// counted, so that logging never delays a request.
type QueuedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueuedWriter starts a writer that Close stops.
func NewQueuedWriter(out io.Writer) *QueuedWriter {
	w := &QueuedWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// An error of the log itself cannot be reported anywhere.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit in the queue.
func (w *QueuedWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// Close writes the queued lines and stops the writer. Write must not be called after it.
func (w *QueuedWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}
