package relay

import (
	"net"
	"sync"
	"time"
)

const dialTimeout = 2 * time.Second

// direction is the direction of bytes on a connection: forward is from the client to the target.
type direction int

const (
	forward direction = iota
	backward
)

// connection is one connection through the relay; the relay's mutex guards stalled.
type connection struct {
	stalled bool
	client  net.Conn
	done    chan struct{}

	mu     sync.Mutex
	server net.Conn
	closed bool
}

func newConnection(client net.Conn) *connection {
	return &connection{client: client, done: make(chan struct{})}
}

// setServer sets the connection to the target. It closes it and returns false if c was closed in the meantime.
func (c *connection) setServer(server net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = server.Close()
		return false
	}
	c.server = server
	return true
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}

// wait waits for a delay, and returns false if c was closed in the meantime.
func (c *connection) wait(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-c.done:
		return false
	case <-timer.C:
		return true
	}
}
