package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	keepaliveInterval = time.Second
	// keepaliveTimeout is the time without any byte after a ping, after which a connection is replaced. It does not mean
	// that the peer has failed.
	keepaliveTimeout = 3 * time.Second
	dialTimeout      = 2 * time.Second
	// redialDelay limits the rate of connection attempts to a peer that refuses them.
	redialDelay = 100 * time.Millisecond
)

var (
	errClientClosed = errors.New("client is closed")
	errRedialDelay  = errors.New("the last connection attempt failed a moment ago")
)

// ClientConfig holds the settings of a Client. Overrides and TLS are optional.
type ClientConfig struct {
	Address   netip.AddrPort
	Overrides map[netip.AddrPort]netip.AddrPort
	Logger    logrus.FieldLogger
	TLS       *tls.Config
}

// Client calls one peer. It connects on demand and replaces connections that fail or stop responding.
type Client struct {
	config    ClientConfig
	traffic   *traffic
	mu        sync.Mutex
	conn      *jsonrpc2.Conn
	lastError time.Time
	closed    bool
}

// NewClient returns a client that connects on its first call.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, traffic: &traffic{}}
}

// Call sends a request and waits for the reply. The error is an *Error whose kind tells whether the request may have
// been received.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return newError("connect to "+c.config.Address.String(), KindNotSent, err)
	}
	op := "call " + method
	pending, err := conn.DispatchCall(ctx, method, params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		c.discard(conn)
		return newError(op, KindNotSent, err)
	}
	if err != nil {
		c.discard(conn)
		return newError(op, KindLost, err)
	}
	return c.callError(op, conn, pending.Wait(ctx, result))
}

func (c *Client) callError(op string, conn *jsonrpc2.Conn, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return &Error{Op: op, Kind: KindRemote, Code: remote.Code, Message: remote.Message, cause: err}
	case errors.Is(err, jsonrpc2.ErrClosed):
		c.discard(conn)
	}
	return newError(op, KindLost, err)
}

// Traffic returns the number of bytes sent and received so far.
func (c *Client) Traffic() Traffic {
	return c.traffic.read()
}

// Close closes the connection. Later calls fail with KindNotSent.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn == nil {
		return nil
	}
	conn := c.conn
	c.conn = nil
	if err := conn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		return newError("close connection", KindLost, err)
	}
	return nil
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, errClientClosed
	case c.conn != nil:
		return c.conn, nil
	case time.Since(c.lastError) < redialDelay:
		return nil, errRedialDelay
	}
	netConn, err := c.dial(ctx)
	if err != nil {
		c.lastError = time.Now()
		return nil, err
	}
	bounded := newBoundedConn(netConn, 0, c.traffic)
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(bounded), rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	c.conn = conn
	go c.keepAlive(conn, bounded)
	return conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	address := c.config.Address
	if override, ok := c.config.Overrides[address]; ok {
		address = override
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.config.TLS != nil {
		tlsDialer := tls.Dialer{NetDialer: &dialer, Config: c.config.TLS}
		return tlsDialer.DialContext(ctx, "tcp", address.String())
	}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// keepAlive sends pings and closes the connection if nothing arrives after one in time, so that pending calls fail. The
// answer to a ping may wait behind a large message.
func (c *Client) keepAlive(conn *jsonrpc2.Conn, bounded *boundedConn) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			c.discard(conn)
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), keepaliveTimeout)
		receivedBefore := bounded.received.Load()
		err := conn.Call(ctx, methodPing, struct{}{}, nil)
		waiting := ctx.Err() != nil && bounded.received.Load() > receivedBefore
		cancel()
		if err != nil && !waiting {
			c.config.Logger.WithField("peer", c.config.Address.String()).WithError(err).Info("keepalive failed; replacing the connection")
			c.discard(conn)
			return
		}
	}
}

func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// rejectCalls rejects calls from the server to the client, which this transport does not support.
type rejectCalls struct{}

// Handle rejects the call.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: CodeMethodNotFound, Message: "this side answers no calls"})
}
