package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/acceptor"
)

const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

// startPresenceServer starts a server whose handler waits before it asks whether the sender still waits.
func startPresenceServer(t *testing.T, wait time.Duration, guard *acceptor.Guard) (netip.AddrPort, <-chan bool) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	assert.NilError(t, socket.Close())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	waiting := make(chan bool, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Config{Address: address, Logger: logger, Guard: guard, Name: acceptor.ListenerOperators, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			time.Sleep(wait)
			waiting <- NewPresence(r).Waiting()
		})})
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return address, waiting
}

func dial(t *testing.T, address netip.AddrPort) *net.TCPConn {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn.(*net.TCPConn)
		}
		assert.Assert(t, time.Now().Before(deadline), "%v", err)
	}
}

func send(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.WriteString(conn, request)
	assert.NilError(t, err)
}

// Guards against an order that is carried out although its sender has closed the connection, and against one that is
// dropped although its sender waits, also when a guard wraps the connection.
func TestPresenceOfASender(t *testing.T) {
	for name, test := range map[string]struct {
		// idle is the age of the connection at the request, leaves the time after which it is closed, or -1 for never.
		idle, leaves, handled time.Duration
		waits                 bool
	}{
		"waits":                        {0, -1, 0, true},
		"waits on an older connection": {2 * freshConnection, -1, 0, true},
		"has left":                     {0, 0, 50 * time.Millisecond, false},
		"closes late on an older one":  {2 * freshConnection, closeDelay / 2, 0, false},
	} {
		for server, guard := range map[string]*acceptor.Guard{"": nil, ", behind a guard": acceptor.New(acceptor.Config{})} {
			t.Run(name+server, func(t *testing.T) {
				address, waiting := startPresenceServer(t, test.handled, guard)
				conn := dial(t, address)
				time.Sleep(test.idle)
				send(t, conn)
				if test.leaves >= 0 {
					time.Sleep(test.leaves)
					assert.NilError(t, conn.Close())
				}
				assert.Equal(t, <-waiting, test.waits)
			})
		}
	}
}

// Guards against a connection that was reset and counts as open.
func TestResetConnectionIsClosed(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	sender := dial(t, netip.MustParseAddrPort(socket.Addr().String()))
	accepted, err := socket.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	assert.Assert(t, !closedByPeer(accepted))
	send(t, sender)
	assert.NilError(t, sender.SetLinger(0))
	assert.NilError(t, sender.Close())
	time.Sleep(50 * time.Millisecond)
	// The bytes before the reset can still be read.
	assert.Assert(t, closedByPeer(accepted))
}
