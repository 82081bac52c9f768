package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout covers four round trips between regions; a connection that is not there by then is tried elsewhere,
	// since nothing of the request was sent.
	dialTimeout = 450 * time.Millisecond
	// defaultIdle is used where an upstream names no timeout for idle connections.
	defaultIdle = 4 * time.Second
	// idleMargin is kept before the end of the upstream's timeout, since a request that crosses the close is lost.
	idleMargin = 700 * time.Millisecond
	// freshWithin is the idle time up to which a connection may carry a request that must not be repeated.
	freshWithin = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that have gone silent without a reset.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxSkipped bounds the responses to earlier requests that may precede the awaited one.
	maxSkipped   = 2
	skippedBytes = 1 << 20
	// inlineBody is the body size up to which nothing is gained by writing while reading.
	inlineBody     = 4 << 10
	expireInterval = 500 * time.Millisecond
)

// Client sends requests; it keeps connections to each address.
type Client struct {
	pool   *pool
	dialer net.Dialer
	// Opened is called for each new connection, and may be nil.
	opened func()
}

// Config holds the settings of a Client; Opened may be nil.
type Config struct {
	OnConnect func()
}

// New returns a client without connections.
func New(config Config) *Client {
	return &Client{pool: newPool(), opened: config.OnConnect, dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}}
}

// Run closes idle connections in time until the context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.pool.expire(now)
		}
	}
}

// Drop closes the idle connections to an upstream that is gone.
func (c *Client) CloseIdle(address netip.AddrPort) {
	c.pool.drop(address)
}

// Response is the answer of an upstream; its body ends with an error unless it was whole.
type Response struct {
	*http.Response
	exchange *exchange
}

// Close ends the exchange; the connection is kept only when the whole answer was read.
func (r *Response) Close() {
	r.exchange.end(r.Response)
}

// exchange is one request and its response on a connection.
type exchange struct {
	client  *Client
	address netip.AddrPort
	conn    *connection
	stop    func() bool
	written chan error
	whole   bool
}

// Do sends a request and returns the response once its header arrived. The context bounds the whole exchange,
// including the body.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request Request) (*Response, error) {
	conn, err := c.connect(ctx, address, request.FreshConnection)
	if err != nil {
		return nil, wrapError("connect", KindNotSent, err)
	}
	e := &exchange{client: c, address: address, conn: conn, written: make(chan error, 1)}
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
		if errors.As(err, &failure) {
			return nil, failure
		}
		return nil, wrapError("exchange", KindLost, err)
	}
	return response, nil
}

func (c *Client) connect(ctx context.Context, address netip.AddrPort, fresh bool) (*connection, error) {
	since := time.Time{}
	if fresh {
		since = time.Now().Add(-freshWithin)
	}
	if conn := c.pool.take(address, since); conn != nil {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if c.opened != nil {
		c.opened()
	}
	return newConnection(raw), nil
}

func (e *exchange) run(request Request) (*Response, error) {
	if len(request.Body) <= inlineBody {
		err := request.write(e.conn.writer)
		e.written <- err
		if err != nil {
			return nil, err
		}
	} else {
		go func() { e.written <- request.write(e.conn.writer) }()
	}
	for range maxSkipped + 1 {
		response, err := readFinal(e.conn.reader, request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.Header) {
			response.Body = &wholeBody{ReadCloser: response.Body, exchange: e}
			return &Response{Response: response, exchange: e}, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, skippedBytes)); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, wrapError("read response", KindMismatchedResponse, eris.New("the response belongs to another request"))
}

// readFinal reads a response and passes over informational ones.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// abort closes the connection, which ends reads and writes in progress.
func (e *exchange) abort() {
	if e.conn.closed.CompareAndSwap(false, true) {
		_ = e.conn.Close()
	}
}

// end keeps the connection if request and response passed over it whole and nothing else did.
func (e *exchange) end(response *http.Response) {
	if !e.stop() || !e.whole || response.Close || !e.sent() {
		e.abort()
		return
	}
	now := time.Now()
	e.conn.used = now
	e.conn.usable = now.Add(keepAlive(response.Header, defaultIdle) - idleMargin)
	if !now.Before(e.conn.usable) || !e.conn.quiet() {
		e.abort()
		return
	}
	e.client.pool.put(e.address, e.conn)
}

// sent reports whether the whole request was written; one that is still being written never will be.
func (e *exchange) sent() bool {
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// wholeBody notes that a body was read to its proper end.
type wholeBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read reads the body; io.EOF comes only after the whole body.
func (b *wholeBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.exchange.whole = true
	}
	return n, err
}
