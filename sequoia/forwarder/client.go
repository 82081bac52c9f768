package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
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
	// maxDiscardedBytes and maxDiscardTime limit reading the rest of a body for the reuse of its connection, which is
	// worth less than a round trip between regions.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 20 * time.Millisecond
	expireInterval    = 500 * time.Millisecond
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
