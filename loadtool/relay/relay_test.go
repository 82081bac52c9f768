package relay

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortWait is much longer than a loopback round trip, which takes far less than a millisecond.
const shortWait = 100 * time.Millisecond

func echoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); conn.Close() }()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echoes sends a byte and reports whether it is echoed within the wait.
func echoes(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	if err != nil {
		return false
	}
	return receives(t, conn, wait)
}

func receives(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// Guards against a fault that blocks nothing, or that persists after Heal. Every fault test depends on this.
func TestFaults(t *testing.T) {
	for name, block := range map[string]func(*Relay){
		"both": (*Relay).Block, "forward": (*Relay).BlockForward, "backward": (*Relay).BlockBackward,
	} {
		t.Run(name, func(t *testing.T) {
			r, err := New(echoServer(t))
			assert.NilError(t, err)
			defer r.Close()
			conn := dial(t, r)
			assert.Assert(t, echoes(t, conn, time.Second))
			block(r)
			assert.Assert(t, !echoes(t, conn, shortWait))
			r.Heal()
			assert.Assert(t, receives(t, conn, time.Second), "blocked bytes are delivered after Heal")
		})
	}
}

// Guards against a block that forwards the close of a connection, which would reveal the fault to the other end.
func TestBlockHidesClose(t *testing.T) {
	r, err := New(echoServer(t))
	assert.NilError(t, err)
	defer r.Close()
	conn := dial(t, r)
	assert.Assert(t, echoes(t, conn, time.Second))
	r.Block()
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(shortWait)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	r.Heal()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against stalling that also affects new connections, or that closes the established ones.
func TestStallAndDrop(t *testing.T) {
	r, err := New(echoServer(t))
	assert.NilError(t, err)
	defer r.Close()
	established := dial(t, r)
	assert.Assert(t, echoes(t, established, time.Second))
	r.Stall()
	assert.Assert(t, !echoes(t, established, shortWait))
	fresh := dial(t, r)
	assert.Assert(t, echoes(t, fresh, time.Second))
	assert.Equal(t, r.Connections(), 1)
	r.Drop()
	_, err = fresh.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
