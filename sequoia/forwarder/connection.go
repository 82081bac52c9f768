package forwarder

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readBufferSize  = 8 << 10
	writeBufferSize = 8 << 10
)

// connection is one connection to an upstream, which carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reuseUntil is the upstream's idle timeout less idleMargin.
	reuseUntil time.Time
	lastUsed   time.Time
	closed     atomic.Bool
}

func newConnection(raw net.Conn) *connection {
	return &connection{
		Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), writer: bufio.NewWriterSize(raw, writeBufferSize),
	}
}

// reusable reports whether an idle connection is open and holds no unread bytes; unsolicited bytes would be parsed as
// the response to the next request.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekError := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekError == syscall.EAGAIN || peekError == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// idleTimeout returns how long the upstream keeps an idle connection according to its last response header.
func idleTimeout(header http.Header, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return fallback
}
