package forwarder

import (
	"bufio"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiaspread.example/sequoia/verifier"
)

const (
	readBufferSize  = 8 << 10
	writeBufferSize = 8 << 10
	// maxHeadBytes limits the head of a response together with the informational responses before it.
	maxHeadBytes = 64 << 10
	unlimited    = math.MaxInt64
	// maxCarriedIDs is the number of the latest requests that a connection remembers.
	maxCarriedIDs = 16
)

var errHeadTooLarge = errors.New("the head of the response exceeds the size limit")

// connection is one connection to an upstream, which carries one request at a time.
type connection struct {
	*verifier.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reuseUntil is the upstream's idle timeout less idleMargin.
	reuseUntil time.Time
	lastUsed   time.Time
	// connectedAt is when the connection was opened.
	connectedAt time.Time
	closed      atomic.Bool
	// carriedIDs holds the IDs of the latest requests, carried is the number of all.
	carriedIDs [maxCarriedIDs]string
	carried    int
	// headBytesLeft is the number of bytes that may still be read for the current head.
	headBytesLeft int64
}

func newConnection(raw net.Conn) *connection {
	verified := verifier.NewConn(raw)
	c := &connection{
		Conn: verified, writer: bufio.NewWriterSize(verified, writeBufferSize), connectedAt: time.Now(), headBytesLeft: unlimited,
	}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// reset closes the connection and drops what was written and not sent.
func (c *connection) reset() {
	if socket, ok := c.NetConn().(interface{ SetLinger(seconds int) error }); ok {
		// Without that the connection is closed in the ordinary way.
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// workedAt returns when the connection worked last before the current request.
func (c *connection) workedAt() time.Time {
	if c.lastUsed.IsZero() {
		return c.connectedAt
	}
	return c.lastUsed
}

// carries records a request.
func (c *connection) carries(id string) {
	c.carriedIDs[c.carried%maxCarriedIDs] = id
	c.carried++
}

// hasCarried reports whether the request with an ID is one of the latest.
func (c *connection) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carriedIDs[:], id)
}

// Read reads from the upstream; within a head it fails after maxHeadBytes.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.headBytesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(buffer)) > c.headBytesLeft {
		buffer = buffer[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(buffer)
	if c.headBytesLeft != unlimited {
		c.headBytesLeft -= int64(n)
	}
	return n, err
}

// readHead reads the head of a response, skipping informational ones. The body is still to be read.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = unlimited }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if errors.Is(err, errHeadTooLarge) {
			return nil, wrapError("read response", KindMismatchedResponse, errHeadTooLarge)
		}
		if err != nil {
			return nil, err
		}
		if err := verifier.CheckHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			response.Body = verifier.Body(response)
			return response, nil
		}
	}
}

// idleState is the state of an idle connection.
type idleState int

const (
	// idleOpen means that the connection is open and holds no unread bytes.
	idleOpen idleState = iota
	// idleClosed means that the peer has closed or reset the connection.
	idleClosed
	// idleUnusable means that the connection holds unsolicited bytes, which would be parsed as the response to the next
	// request, or that its state is not known.
	idleUnusable
)

// idleState returns the state of an idle connection.
func (c *connection) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return idleUnusable
	}
	raw, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return idleOpen
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return idleUnusable
	}
	state := idleUnusable
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, peekError := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case peekError == syscall.EAGAIN || peekError == syscall.EWOULDBLOCK:
			state = idleOpen
		case peekError != nil || n == 0:
			state = idleClosed
		}
		return true
	})
	if err != nil {
		return idleUnusable
	}
	return state
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
