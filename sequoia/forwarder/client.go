package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"sequoiaspread.example/sequoia/verifier"
)

const (
	// dialTimeout covers four round trips between regions. After it the request can safely be tried elsewhere, since
	// nothing was sent.
	dialTimeout = 450 * time.Millisecond
	// defaultIdleTimeout is used if an upstream announces no timeout for idle connections.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's idle timeout a connection is no longer used; a request that races
	// with the upstream's close is lost.
	idleMargin = 700 * time.Millisecond
	// maxFreshIdle is the idle time up to which a connection may carry a request that must not be retried.
	maxFreshIdle = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, which detects peers that
	// disappeared without a reset.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxSkippedResponses limits the responses to earlier requests that may precede the expected one.
	maxSkippedResponses = 2
	// maxSkippedBytes limits the body of one of them; after a longer one the connection is closed.
	maxSkippedBytes = 1 << 20
	// maxDiscardedBytes and maxDiscardTime limit reading the rest of a body for the reuse of its connection, which is
	// worth less than a round trip between regions.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 20 * time.Millisecond
	// maxInlineBody is the body size up to which writing concurrently with reading the response has no benefit.
	maxInlineBody  = 4 << 10
	expireInterval = 500 * time.Millisecond
)

// Client sends requests and keeps a pool of idle connections for each address.
type Client struct {
	pool   *pool
	dialer net.Dialer
	// onConnect is called for each new connection and may be nil.
	onConnect func()
}

// Config holds the settings of a Client. OnConnect is called for each new connection and may be nil.
type Config struct {
	OnConnect func()
}

// New returns a client without connections.
func New(config Config) *Client {
	return &Client{pool: newPool(), onConnect: config.OnConnect, dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}}
}

// Run closes expired idle connections until the context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.pool.closeExpired(now)
		}
	}
}

// CloseIdle closes the idle connections to an upstream that was removed.
func (c *Client) CloseIdle(address netip.AddrPort) {
	c.pool.closeIdle(address)
}

// Probe opens a connection and closes it again, to find out whether an address can be reached.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) error {
	raw, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return wrapError("connect", KindNotSent, err)
	}
	return raw.Close()
}

// Response is the response of an upstream. Reading the body of a truncated response returns an error.
type Response struct {
	*http.Response
	// Reused is set if the connection carried other requests before; a faulty upstream may repeat the response to one of
	// them.
	Reused bool
	// ConnectedAt is when the connection was opened, SentAt when the request was sent, and ReceivedAt when the head of the
	// response had arrived.
	ConnectedAt, SentAt, ReceivedAt time.Time
	exchange                        *exchange
}

// Close ends the exchange. The connection is reused only if the complete response was read.
func (r *Response) Close() {
	r.exchange.end(r.Response)
}

// Discard reads the rest of a short body, so that Close can reuse the connection.
func (r *Response) Discard() {
	if r.Response.Close || r.ContentLength > maxDiscardedBytes {
		return
	}
	// If the rest cannot be read in time, Close closes the connection.
	_ = r.exchange.conn.SetReadDeadline(time.Now().Add(maxDiscardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes+1))
	_ = r.exchange.conn.SetReadDeadline(time.Time{})
}

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

// Do sends a request and returns the response once its header has arrived. The context covers the whole exchange,
// including the body.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request Request) (*Response, error) {
	conn, closedUsedAt, err := c.connect(ctx, address, request)
	if err != nil {
		return nil, wrapError("connect", KindNotSent, err)
	}
	if request.Permit != nil {
		if err := request.Permit(closedUsedAt); err != nil {
			_ = conn.Close()
			return nil, wrapError("send", KindNotSent, err)
		}
	}
	conn.carries(request.ID)
	e := &exchange{client: c, address: address, conn: conn, written: make(chan error, 1), sentAt: time.Now()}
	e.stop = context.AfterFunc(ctx, e.abort)
	if ctx.Err() != nil {
		e.abort()
		return nil, wrapError("send", KindNotSent, ctx.Err())
	}
	response, err := e.run(request)
	if err != nil {
		e.abort()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		var failure *Error
		if !errors.As(err, &failure) {
			failure = wrapError("exchange", KindLost, err)
		}
		failure.WorkedAt = conn.workedAt()
		return nil, failure
	}
	return response, nil
}

// connect returns a connection, and when one that the peer closed before its time was used last.
func (c *Client) connect(ctx context.Context, address netip.AddrPort, request Request) (*connection, time.Time, error) {
	since := time.Time{}
	if request.FreshConnection {
		since = time.Now().Add(-maxFreshIdle)
	}
	conn, closedUsedAt := c.pool.get(address, since, request.ID)
	if conn != nil {
		return conn, closedUsedAt, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, closedUsedAt, err
	}
	if c.onConnect != nil {
		c.onConnect()
	}
	return newConnection(raw), closedUsedAt, nil
}

func (e *exchange) run(request Request) (*Response, error) {
	if len(request.Body) <= maxInlineBody {
		err := request.write(e.conn.writer)
		e.written <- err
		if err != nil {
			return nil, err
		}
	} else {
		go func() { e.written <- request.write(e.conn.writer) }()
	}
	for range maxSkippedResponses + 1 {
		response, err := e.conn.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.Header) {
			response.Body = &trackedBody{ReadCloser: verifier.Body(response), exchange: e}
			return &Response{
				Response: response, Reused: e.conn.carried > 1, exchange: e,
				ConnectedAt: e.conn.connectedAt, SentAt: e.sentAt, ReceivedAt: time.Now(),
			}, nil
		}
		if response.Close {
			break
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, err
		}
		if skipped > maxSkippedBytes {
			break
		}
	}
	return nil, wrapError("read response", KindMismatchedResponse, eris.New("the response belongs to another request"))
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
