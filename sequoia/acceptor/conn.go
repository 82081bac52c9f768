package acceptor

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"sequoiaspread.example/sequoia/allotter"
)

const (
	// connectionBytes is charged for each open connection: the buffers and the goroutines that serve it.
	connectionBytes = 16 << 10
	// headerLineBytes is charged for each line of a request header, for the parsed field and its copies. The most expensive
	// fields, short ones with different names, take 322 bytes with the copy for forwarding.
	headerLineBytes = 384
	// freeReservedBytes is the charge up to which the connections within the reserve of the readiness check and the metrics
	// are not charged, so that these are answered while the memory is used up.
	freeReservedBytes = 32 << 10
	// headerSlopBytes is what net/http reads beyond the limit of a header.
	headerSlopBytes = 4 << 10
	// writePieceBytes is the largest size of a single write, after which the guard sees its progress.
	writePieceBytes = 64 << 10
	// unreadDelay is the time spent waiting for a reader from which the system is asked what it has received.
	unreadDelay = 500 * time.Millisecond
	// reclaimableLag is the lag from which the account may reclaim a connection. It is below the minimum lag of the
	// account by the sweep interval, so that no connection is left out for longer.
	reclaimableLag = 500 * time.Millisecond
	// resetDelay is the time between the response to a too large header and the close of the connection, whose unread
	// bytes would otherwise make the system discard the response.
	resetDelay = 500 * time.Millisecond
)

const headerTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n431 Request Header Fields Too Large"

// conn is a connection that a guard watches. net/http tells its phase by the ConnState hook, and the wrapper sees what the
// process waits for.
type conn struct {
	net.Conn
	guard    *Guard
	listener string
	class    class
	caller   netip.Addr
	holder   allotter.Holder
	// free is set if the connection and a header up to freeReservedBytes are not charged.
	free bool

	// mu guards the fields below. It is never held while the account is asked for memory, which may reclaim connections.
	mu     sync.Mutex
	closed bool
	phase  phase
	// All times are durations since the guard was created. since is when the idle period or the header began.
	since time.Duration
	// reading and writing are set while the process waits for the caller.
	reading, writing           bool
	readBegan, writeBegan      time.Duration
	readWaited, writeWaited    time.Duration
	readBytes, written, unread int64
	// received is what the caller was last seen to have of the response. The progress fields are the waits at which bytes
	// last came, and the excess fields the bytes that came too far ahead to count.
	received                    int64
	readProgress, writeProgress time.Duration
	readExcess, writeExcess     int64
	// watchNext is set while the next read of one byte is that of net/http, which watches for the end of a connection
	// whose request was read.
	watchNext bool
	// early holds a byte of the next request that arrived during the current one.
	early   []byte
	scanner headerScanner
	// memory and header are the reservations of the connection and of the header of its request; charged is their sum.
	memory, header *allotter.Reservation
	charged        int64
	// reclaimable is set while the reservations may be reclaimed, and reclaimableSince is the begin of the lag as the
	// account knows it. Both end when the process no longer waits.
	reclaimable      bool
	reclaimableSince time.Duration
	// memoryLost is set if the reservations were reclaimed while the connection could not be closed.
	memoryLost bool
}

// readKind is what a read is for.
type readKind int

const (
	readHeader readKind = iota
	readBody
	// readWatch waits for the end of the connection or the next request while a request is processed.
	readWatch
)

// Read reads from the connection. It charges the bytes of a header before it passes them on.
func (c *conn) Read(buffer []byte) (int, error) {
	kind := c.beginRead(len(buffer))
	n, err := c.Conn.Read(buffer)
	if !c.endRead(kind, buffer[:n]) || kind == readHeader && n > 0 && !c.admitHeader() {
		// net/http responds to other types of errors.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

func (c *conn) beginRead(size int) readKind {
	now := c.guard.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	watch := c.watchNext && size == 1
	c.watchNext = false
	switch {
	case c.phase == phaseHijacked || c.phase == phaseActive && watch:
		return readWatch
	case c.phase == phaseActive:
		c.reading, c.readBegan = true, now
		return readBody
	default:
		c.reading, c.readBegan = true, now
		return readHeader
	}
}

// endRead records what arrived, and reports whether it may be passed on.
func (c *conn) endRead(kind readKind, data []byte) bool {
	now := c.guard.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == readWatch {
		c.early = append(c.early[:0], data...)
		return !c.closed
	}
	c.reading = false
	c.setBusy()
	if kind == readBody {
		c.readWaited += now - c.readBegan
		if len(data) > 0 {
			c.readBytes += int64(len(data))
			c.readProgress = c.readWaited
			c.readExcess = excessBytes(c.readExcess, c.readBytes, c.readWaited)
		}
		return !c.closed
	}
	c.scanHeader(now, data)
	return !c.closed
}

// scanHeader adds bytes to the header of the next request. The lock must be held.
func (c *conn) scanHeader(now time.Duration, data []byte) {
	if len(data) == 0 {
		return
	}
	if c.phase == phaseIdle {
		c.setPhase(phaseHeader, now)
	}
	ended := c.scanner.scan(data)
	c.readBytes = c.scanner.bytes
	if ended {
		c.setPhase(phaseActive, now)
	}
}

// admitHeader charges the header as far as it has arrived. If it is too large or there is no memory, it closes the
// connection and returns false.
func (c *conn) admitHeader() bool {
	limit := c.guard.limits().forClass(c.class).HeaderBytes
	c.mu.Lock()
	bytes, lines := c.scanner.bytes, c.scanner.lines
	if c.header == nil {
		c.header = c.guard.reserve(c.holder)
	}
	header := c.header
	c.mu.Unlock()
	if bytes > int64(limit)+headerSlopBytes {
		c.refuseHeader()
		return false
	}
	charge := bytes + lines*headerLineBytes
	if c.free && charge <= freeReservedBytes {
		return true
	}
	if !c.grow(header, charge, c.ownBytes()+charge) {
		c.closeFor(ReasonHeaderMemory, nil)
		return false
	}
	return true
}

// refuseHeader responds that the header is too large.
func (c *conn) refuseHeader() {
	// A caller that has left gets no response.
	_, _ = io.WriteString(c, headerTooLargeResponse)
	_ = c.CloseWrite()
	time.Sleep(resetDelay)
	c.closeFor(ReasonHeaderTooLarge, nil)
}

// Write writes to the connection in pieces, so that the guard sees how much the caller takes.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		if !c.beginWrite() {
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(piece)
		c.endWrite(n)
		written += n
		if err != nil || written >= len(data) {
			return written, err
		}
	}
}

// beginWrite reports whether the connection is still open.
func (c *conn) beginWrite() bool {
	now := c.guard.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.writeBegan = true, now
	return !c.closed
}

func (c *conn) endWrite(bytes int) {
	now := c.guard.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.writeWaited += now - c.writeBegan
	c.written += int64(bytes)
	// What was unread may have been received meanwhile.
	c.unread = 0
	c.setBusy()
}

// SetReadDeadline sets the deadline of reads. net/http removes the deadline before it watches for the end of a connection.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.watchNext = deadline.IsZero()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// Close closes the connection and ends its charges.
func (c *conn) Close() error {
	c.mu.Lock()
	known := c.closed
	c.closed = true
	c.mu.Unlock()
	if known {
		return nil
	}
	c.release()
	return c.Conn.Close()
}

// NetConn returns the connection of the system.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn gives access to the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, net.UnknownNetworkError("no socket")
}

// SetLinger sets what happens to data that was not sent when the connection is closed.
func (c *conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// setState follows the state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.beginActive()
	case http.StateHijacked:
		c.mu.Lock()
		c.setPhase(phaseHijacked, c.guard.now())
		c.mu.Unlock()
	case http.StateIdle:
		c.beginIdle()
	case http.StateNew, http.StateClosed:
	}
}

// beginActive starts to process a request, unless the end of its header was seen before.
func (c *conn) beginActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchNext = false
	if c.phase != phaseActive {
		c.setPhase(phaseActive, c.guard.now())
	}
}

// beginIdle ends the charge of the last header and starts to wait for the next request.
func (c *conn) beginIdle() {
	now := c.guard.now()
	c.mu.Lock()
	header := c.header
	c.header, c.scanner = nil, headerScanner{}
	if !c.closed {
		c.setCharged(c.ownBytes())
	}
	c.setPhase(phaseIdle, now)
	early := c.early
	c.early = nil
	c.scanHeader(now, early)
	c.mu.Unlock()
	release(header)
	c.recharge()
}

// setPhase begins a phase. The lock must be held.
func (c *conn) setPhase(next phase, now time.Duration) {
	c.phase, c.since = next, now
	c.readWaited, c.writeWaited = 0, 0
	c.readProgress, c.writeProgress = 0, 0
	c.readBytes, c.written, c.unread, c.received = 0, 0, 0, 0
	c.readExcess, c.writeExcess = 0, 0
}

// snapshot returns the state for decisions. The lock must be held.
func (c *conn) snapshot(now time.Duration) snapshot {
	s := snapshot{
		class: c.class, caller: c.caller, phase: c.phase, reading: c.reading, writing: c.writing, age: now - c.since,
		readWait: c.readWaited, readBytes: c.readBytes, writeWait: c.writeWaited, writeBytes: max(0, c.written-c.unread),
		readExcess: c.readExcess, writeExcess: c.writeExcess,
	}
	if c.reading {
		s.readWait += now - c.readBegan
	}
	if c.writing {
		s.writeWait += now - c.writeBegan
	}
	s.readStall, s.writeStall = s.readWait-c.readProgress, s.writeWait-c.writeProgress
	return s
}

// check returns why the connection must be closed by its limits, or an empty reason, and tells the account whether it may
// be reclaimed.
func (c *conn) check(now time.Duration, limits Limits) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ""
	}
	s := c.snapshot(now)
	if s.writing && s.writeWait >= unreadDelay {
		c.unread = unreadBytes(c)
		c.noteReceived(s.writeWait)
		s = c.snapshot(now)
	}
	if reason := s.expired(limits); reason != "" {
		return reason
	}
	if lag := s.lag(); lag >= reclaimableLag {
		c.setReclaimable(now - lag)
	} else {
		c.setBusy()
	}
	return ""
}

// noteReceived records the progress of the response after the system was asked for it. The lock must be held.
func (c *conn) noteReceived(wait time.Duration) {
	received := max(0, c.written-c.unread)
	if received > c.received {
		c.received, c.writeProgress = received, wait
		c.writeExcess = excessBytes(c.writeExcess, received, wait)
	}
}

// restart forgets all times, after a pause of the process. The lock must not be held.
func (c *conn) restart(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.readBegan, c.writeBegan = now, now, now
	c.readWaited, c.writeWaited = 0, 0
	c.readProgress, c.writeProgress = 0, 0
	c.setBusy()
}

// closeFor closes the connection if the condition holds, and reports whether it is closed. A nil condition always holds.
// With a condition, a connection on which bytes wait to be read stays open: it is the process that is late.
func (c *conn) closeFor(reason Reason, condition func(snapshot) bool) bool {
	now := c.guard.now()
	c.mu.Lock()
	s := c.snapshot(now)
	if c.closed || condition != nil && (!condition(s) || s.reading && !s.writing && arrivedBytes(c) > 0) {
		defer c.mu.Unlock()
		return c.closed
	}
	c.closed = true
	c.mu.Unlock()
	c.release()
	c.guard.reporter.report(c.listener, reason, s)
	if s.writing {
		// A reset shows the caller that the response has not ended, and discards what it has not read.
		_ = c.SetLinger(0)
	}
	// An error means that the connection is closed already.
	_ = c.Conn.Close()
	return true
}
