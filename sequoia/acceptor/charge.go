package acceptor

import (
	"time"

	"sequoiaspread.example/sequoia/allotter"
)

// grow raises a reservation, and reports whether the connection may go on. charged is then the sum of its reservations.
// The lock must not be held.
func (c *conn) grow(r *allotter.Reservation, bytes, charged int64) bool {
	if r != nil && !r.Grow(bytes) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.setCharged(charged)
		return true
	}
	// The connection may have been closed before the growth.
	release(r)
	return false
}

// recharge charges the connection anew if its memory was reclaimed while it could not be closed. The lock must not be held.
func (c *conn) recharge() {
	c.mu.Lock()
	lost, previous := c.memoryLost && c.memory != nil, c.memory
	c.memoryLost = false
	if lost {
		c.memory = c.guard.reserve(c.holder)
	}
	memory := c.memory
	c.mu.Unlock()
	if !lost {
		return
	}
	release(previous)
	if !c.grow(memory, connectionBytes, connectionBytes) {
		c.closeFor(ReasonReclaimedMemory, nil)
	}
}

func release(r *allotter.Reservation) {
	if r != nil {
		r.Release()
	}
}

// setReclaimable tells the account since when the caller lags. The lock must be held.
func (c *conn) setReclaimable(since time.Duration) {
	if c.reclaimable && (since-c.reclaimableSince).Abs() < sweepInterval/2 {
		return
	}
	c.reclaimable, c.reclaimableSince = true, since
	for _, r := range [...]*allotter.Reservation{c.memory, c.header} {
		if r != nil {
			r.SetReclaimable(c.guard.startedAt.Add(since), c.reclaim)
		}
	}
}

// setBusy tells the account that the process no longer waits for the caller. The lock must be held.
func (c *conn) setBusy() {
	if !c.reclaimable {
		return
	}
	c.reclaimable = false
	if c.memory != nil && !c.memory.SetBusy() {
		// The account may call reclaim only after the next request has begun.
		c.memoryLost = true
	}
	if c.header != nil {
		// A lost header is charged anew with the next request.
		_ = c.header.SetBusy()
	}
}

// reclaim closes the connection for the account. If the process has stopped waiting for the caller in the meantime, the
// connection stays open and is charged anew before the next request.
func (c *conn) reclaim() {
	if c.closeFor(ReasonReclaimedMemory, func(snapshot) bool { return c.reclaimable }) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memoryLost = true
}

// release ends the charges and removes the connection from the guard.
func (c *conn) release() {
	c.guard.remove(c)
	c.mu.Lock()
	memory, header := c.memory, c.header
	c.setCharged(0)
	c.mu.Unlock()
	release(memory)
	release(header)
}

// ownBytes returns what is charged for the connection without a header.
func (c *conn) ownBytes() int64 {
	if c.free {
		return 0
	}
	return connectionBytes
}

// setCharged records what is charged, for the metric. The lock must be held.
func (c *conn) setCharged(bytes int64) {
	c.guard.charged.Add(bytes - c.charged)
	c.charged = bytes
}
