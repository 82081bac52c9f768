package verifier

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// past is a deadline that has passed, which ends a write in progress.
var past = time.Unix(1, 0)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side in the ordinary way.
//
// The kernel reports the loss of a connection once. If a write takes that error, a read beside it finds the connection at
// its end, and a response whose length is the end of its connection looks complete.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// lost is the error of the write that was told that the connection is lost.
	lost error
}

// NewConn returns a connection on top of another one.
func NewConn(raw net.Conn) *Conn {
	return &Conn{Conn: raw}
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the peer.
func (c *Conn) Write(buffer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(buffer)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// Read reads from the peer. At the end of the data it ends a write in progress, which has no use any more: the peer has
// given its whole response, or none.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if lost := c.lossSeenByWrite(); lost != nil {
		return n, lost
	}
	return n, err
}

// lossSeenByWrite returns the error of a write that was told of the loss of the connection. A write that was told, but has
// not returned yet, returns with that error and not with the deadline.
func (c *Conn) lossSeenByWrite() error {
	// It fails only for a connection that was closed here, whose writes have ended.
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}

// isLoss reports whether the error of a write says that the connection was lost. EPIPE does not: it comes if the peer
// rejects bytes that arrive after it has ended its side.
func isLoss(err error) bool {
	ordinary := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE)
	return err != nil && !ordinary
}
