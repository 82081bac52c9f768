package acceptor

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	"sequoiaspread.example/sequoia/allotter"
)

// textConn is a connection on which the same bytes arrive with each read.
type textConn struct {
	net.Conn
	text string
}

// Read returns the bytes.
func (c textConn) Read(buffer []byte) (int, error) { return copy(buffer, c.text), nil }

// Write discards the bytes.
func (c textConn) Write(data []byte) (int, error) { return len(data), nil }

// Guards against a guard that costs a request more than a few hundred nanoseconds.
func BenchmarkRequest(b *testing.B) {
	g := New(Config{Account: allotter.New(allotter.Config{Bytes: 1 << 20})})
	c := &conn{Conn: textConn{text: "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\nC: d\r\nE: f\r\n\r\n"}, guard: g, phase: phaseIdle}
	buffer := make([]byte, 4096)
	for b.Loop() {
		_, _ = c.Read(buffer)
		c.setState(http.StateActive)
		_, _ = c.Write(buffer[:100])
		c.setState(http.StateIdle)
	}
}

// SyscallConn reports that there is no socket.
func (c textConn) SyscallConn() (syscall.RawConn, error) { return nil, net.ErrClosed }
