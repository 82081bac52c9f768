package messenger

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowListener accepts connections whose replies arrive block by block with a pause after each one.
type slowListener struct {
	net.Listener
	block int
	pause time.Duration
}

// Accept returns the next connection.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{Conn: conn, listener: l}, err
}

type slowConn struct {
	net.Conn
	listener slowListener
}

// Write writes block by block.
func (c slowConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, err := c.Conn.Write(data[written:min(len(data), written+c.listener.block)])
		written += n
		if err != nil {
			return written, err
		}
		time.Sleep(c.listener.pause)
	}
	return written, nil
}

// Guards against a large reply over a slow link whose connection is replaced because the answer to a ping waits behind
// it.
func TestKeepaliveBrokeOffALargeReply(t *testing.T) {
	const duration = keepaliveInterval + keepaliveTimeout + 2*time.Second
	const blocks, block = 60, 10 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(ServerConfig{Logger: quietLogger(), Handler: HandlerFunc(
		func(context.Context, string, json.RawMessage) (any, error) {
			return strings.Repeat("x", blocks*block), nil
		},
	)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- server.Serve(ctx, slowListener{Listener: listener, block: block, pause: duration / blocks})
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	client := newTestClient(t, netip.MustParseAddrPort(listener.Addr().String()))
	var reply string
	assert.NilError(t, client.Call(t.Context(), "large", struct{}{}, &reply))
	assert.Equal(t, len(reply), blocks*block)
}

// deadlineConn counts the deadlines that are set before writes.
type deadlineConn struct {
	net.Conn
	deadlines int
	longest   int
}

// SetWriteDeadline counts the call.
func (c *deadlineConn) SetWriteDeadline(time.Time) error {
	c.deadlines++
	return nil
}

// Write records the longest write.
func (c *deadlineConn) Write(data []byte) (int, error) {
	c.longest = max(c.longest, len(data))
	return len(data), nil
}

// Guards against a large message to a slow but steady reader that ends because one deadline covers all of it.
func TestWriteDeadlineCoveredAWholeMessage(t *testing.T) {
	const size = 10*writeBlockBytes + 1
	peer := &deadlineConn{}
	n, err := newBoundedConn(peer, 0, &traffic{}).Write(make([]byte, size))
	assert.NilError(t, err)
	assert.Equal(t, n, size)
	assert.Equal(t, peer.deadlines, 11)
	assert.Assert(t, peer.longest <= writeBlockBytes, "%d bytes", peer.longest)
}
