package verifier

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns both ends of a connection whose peer takes little before it reads.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	socket, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	raw, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)
	peer, err := socket.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = peer.Close()
	})
	return NewConn(raw), peer.(*net.TCPConn)
}

// Guards against a reset that a write was told of being read as the ordinary end of the data, and against an ordinary end
// being refused because the peer takes no more of a write.
func TestReadEndsOnlyIfThePeerEndedItsSide(t *testing.T) {
	const (
		writeBytes = 16 << 20
		pause      = 10 * time.Millisecond
	)
	for name, c := range map[string]struct {
		halfClose, reset, readLate bool
		want                       error
	}{
		"reset":                          {reset: true, want: syscall.ECONNRESET},
		"reset before the read":          {reset: true, readLate: true, want: syscall.ECONNRESET},
		"end":                            {halfClose: true},
		"end, then reset":                {halfClose: true, reset: true},
		"end, reset before the read":     {halfClose: true, reset: true, readLate: true},
		"end, before the read, no reset": {halfClose: true, readLate: true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				conn, peer := connect(t)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write(make([]byte, writeBytes))
				}()
				_, err := io.ReadFull(peer, make([]byte, 1))
				assert.NilError(t, err)
				_, err = io.WriteString(peer, "data")
				assert.NilError(t, err)
				if c.halfClose {
					assert.NilError(t, peer.CloseWrite())
				}
				if c.reset {
					// The end must arrive before the reset.
					time.Sleep(pause)
					assert.NilError(t, peer.SetLinger(0))
					assert.NilError(t, peer.Close())
				}
				if c.readLate {
					time.Sleep(pause)
				}
				text, err := io.ReadAll(conn)
				assert.Equal(t, string(text), "data")
				assert.ErrorIs(t, err, c.want)
				<-written
			}
		})
	}
}
