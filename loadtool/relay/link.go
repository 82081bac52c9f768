package relay

import (
	"net"
	"sync"
	"time"
)

const dialTimeout = 2 * time.Second

// direction is one of the two directions of a connection.
type direction int

const (
	forward direction = iota
	backward
)

// link is one connection through the relay; the relay's mutex guards silent.
type link struct {
	silent bool
	near   net.Conn
	done   chan struct{}

	mu     sync.Mutex
	far    net.Conn
	closed bool
}

func newLink(near net.Conn) *link {
	return &link{near: near, done: make(chan struct{})}
}

// connect takes the connection to the target, and reports false when the link was closed meanwhile.
func (l *link) connect(far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = far.Close()
		return false
	}
	l.far = far
	return true
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	_ = l.near.Close()
	if l.far != nil {
		_ = l.far.Close()
	}
}

// wait pauses for a delay, and reports false when the link was closed meanwhile.
func (l *link) wait(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}
