package loader

import (
	"io"
	"sync/atomic"
)

// queuedLines bounds the log lines that wait for a slow reader of the log.
const queuedLines = 4096

// QueuedWriter passes lines to a writer from its own goroutine; lines that do not fit its queue are dropped and
// counted, so that logging never delays a request.
type QueuedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueuedWriter starts a writer; Close ends it.
func NewQueuedWriter(to io.Writer) *QueuedWriter {
	w := &QueuedWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// There is nowhere to report that the log itself cannot be written.
			_, _ = to.Write(line)
		}
	}()
	return w
}

// Write queues a copy of a line; it never waits and never fails.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit the queue.
func (w *QueuedWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// Close writes the lines that wait; nothing may be written after it.
func (w *QueuedWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}
