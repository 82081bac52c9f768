package forwarder

import (
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxSkippedResponses limits the responses to earlier requests that may precede the expected one.
	maxSkippedResponses = 2
	// maxSkippedBytes limits the body of one of them; after a longer one the connection is closed.
	maxSkippedBytes = 1 << 20
	// maxInlineBody is the body size up to which writing concurrently with reading the response has no benefit.
	maxInlineBody = 4 << 10
)

// exchange is one request and its response on a connection.
type exchange struct {
	client   *Client
	address  netip.AddrPort
	conn     *connection
	stop     func() bool
	written  chan error
	sentAt   time.Time
	complete bool
}

// run sends the request and returns its response.
func (e *exchange) run(request Request) (*Response, error) {
	if err := e.send(request); err != nil {
		return nil, err
	}
	for range maxSkippedResponses + 1 {
		response, err := e.conn.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.Header) {
			response.Body = &trackedBody{ReadCloser: response.Body, exchange: e}
			return &Response{
				Response: response, Reused: e.conn.carried > 1, exchange: e,
				ConnectedAt: e.conn.connectedAt, SentAt: e.sentAt, ReceivedAt: time.Now(),
			}, nil
		}
		skipped, err := skip(response)
		if err != nil {
			return nil, err
		}
		if !skipped {
			break
		}
	}
	return nil, wrapError("read response", KindMismatchedResponse, eris.New("the response belongs to another request"))
}

// send writes a short request, or starts to write a long one beside the read of its response, which may come early.
func (e *exchange) send(request Request) error {
	if len(request.Body) > maxInlineBody {
		go func() { e.written <- request.write(e.conn.writer) }()
		return nil
	}
	err := request.write(e.conn.writer)
	e.written <- err
	return err
}

// skip reads a response to another request to its end. It returns false if no other response can follow on the connection.
func skip(response *http.Response) (bool, error) {
	if response.Close {
		return false, nil
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	return read <= maxSkippedBytes, err
}

// abort resets the connection, which ends pending reads and writes. An ordinary close would have the kernel deliver what was
// written and not sent, also long after the request was given up, as when a partition ends.
func (e *exchange) abort() {
	if e.conn.closed.CompareAndSwap(false, true) {
		e.conn.reset()
	}
}

// close closes the connection after a complete exchange.
func (e *exchange) close() {
	if e.conn.closed.CompareAndSwap(false, true) {
		_ = e.conn.Close()
	}
}

// end returns the connection to the pool if the request and the response were transferred completely and the connection
// holds no other bytes.
func (e *exchange) end(response *http.Response) {
	if !e.stop() || !e.complete || !e.requestWritten() {
		e.abort()
		return
	}
	if response.Close {
		e.close()
		return
	}
	now := time.Now()
	e.conn.lastUsed = now
	e.conn.reuseUntil = now.Add(idleTimeout(response.Header, defaultIdleTimeout) - idleMargin)
	if !now.Before(e.conn.reuseUntil) || e.conn.idleState() != idleOpen {
		e.close()
		return
	}
	e.client.pool.put(e.address, e.conn)
}

// requestWritten reports whether the complete request was written. A write still in progress counts as failed, since
// the connection is then closed.
func (e *exchange) requestWritten() bool {
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read reads the body. io.EOF is returned only at the end of the complete body.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.exchange.complete = true
	}
	return n, err
}
