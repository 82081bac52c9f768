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
	readBuffer  = 8 << 10
	writeBuffer = 8 << 10
)

// connection is one connection to an upstream; it carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// usable is when the upstream said it closes the idle connection, less a margin.
	usable time.Time
	used   time.Time
	closed atomic.Bool
}

func newConnection(raw net.Conn) *connection {
	return &connection{
		Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), writer: bufio.NewWriterSize(raw, writeBuffer),
	}
}

// quiet reports whether an idle connection is open and holds no unread bytes: bytes that nobody asked for belong to
// no request.
func (c *connection) quiet() bool {
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
		var one [1]byte
		_, _, peekError := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekError == syscall.EAGAIN || peekError == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// keepAlive returns how long the upstream keeps an idle connection, from the header of its last response.
func keepAlive(header http.Header, byDefault time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return byDefault
}
