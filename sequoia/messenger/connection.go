package messenger

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes limits the memory used by one message of a peer.
	maxMessageBytes = 16 << 20
	// writeTimeout closes a connection whose peer has stopped reading.
	writeTimeout = 5 * time.Second
	// writeBlockBytes is the size of the blocks to which writeTimeout applies, so that a large message may take longer.
	writeBlockBytes = 64 << 10
)

var errMessageTooLarge = errors.New("message is larger than 16 MiB")

// Traffic counts the bytes sent and received over connections.
type Traffic struct {
	Sent     uint64
	Received uint64
}

type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (t *traffic) read() Traffic {
	return Traffic{Sent: t.sent.Load(), Received: t.received.Load()}
}

// boundedConn limits the size of one message, the time to write a block and, if idle is set, the time without a byte from
// the peer.
type boundedConn struct {
	net.Conn
	idle      time.Duration
	remaining atomic.Int64
	traffic   *traffic
	received  atomic.Uint64
}

func newBoundedConn(conn net.Conn, idle time.Duration, counts *traffic) *boundedConn {
	bounded := &boundedConn{Conn: conn, idle: idle, traffic: counts}
	bounded.allowMessage()
	return bounded
}

func (c *boundedConn) allowMessage() {
	c.remaining.Store(maxMessageBytes)
}

// Read reads from the peer within the limits.
func (c *boundedConn) Read(buffer []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(buffer)
	c.traffic.received.Add(uint64(n))
	c.received.Add(uint64(n))
	if c.remaining.Add(int64(-n)) < 0 {
		return 0, errMessageTooLarge
	}
	return n, err
}

// Write writes to the peer block by block, each within the write timeout.
func (c *boundedConn) Write(buffer []byte) (int, error) {
	written := 0
	for written < len(buffer) {
		n, err := c.writeBlock(buffer[written:min(len(buffer), written+writeBlockBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *boundedConn) writeBlock(block []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(block)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// boundedCodec resets the size limit before each message.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
	conn *boundedConn
}

// ReadObject reads one message.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.conn.allowMessage()
	return c.VSCodeObjectCodec.ReadObject(stream, v)
}

func newStream(conn *boundedConn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, boundedCodec{conn: conn})
}

// discardLogger prevents jsonrpc2 from writing to standard error; this package logs errors itself.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}
