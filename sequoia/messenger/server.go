package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/semaphore"
)

const (
	// serverIdleTimeout is longer than several keepalive intervals of a client.
	serverIdleTimeout = 10 * time.Second
	// maxCallsPerConnection limits the concurrent calls of one peer.
	maxCallsPerConnection = 256
	// maxCalls limits the concurrent calls of all peers. A drain acquires all of them, so that no call starts after
	// it.
	maxCalls = 1 << 16
	// drainTimeout limits how long Run waits for calls in progress after its context is cancelled.
	drainTimeout = 5 * time.Second
)

const methodPing = "ping"

// Handler handles calls. An error other than a *RemoteError is returned to the peer with the internal error code.
type Handler interface {
	Handle(ctx context.Context, method string, params json.RawMessage) (any, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Handle calls the function.
func (f HandlerFunc) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	return f(ctx, method, params)
}

// ServerConfig holds the settings of a Server. TLS is optional.
type ServerConfig struct {
	Address netip.AddrPort
	Handler Handler
	Logger  logrus.FieldLogger
	TLS     *tls.Config
}

// Server accepts connections of peers and handles their calls.
type Server struct {
	config  ServerConfig
	traffic traffic
	invalid atomic.Uint64
	calls   *semaphore.Weighted
}

// NewServer returns a server that Run starts.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, calls: semaphore.NewWeighted(maxCalls)}
}

// Traffic returns the number of bytes sent and received so far.
func (s *Server) Traffic() Traffic {
	return s.traffic.read()
}

// InvalidCalls returns the number of calls with an unknown method or invalid parameters so far.
func (s *Server) InvalidCalls() uint64 {
	return s.invalid.Load()
}

// Run listens and serves until the context is cancelled, then waits up to 5 s for calls in progress.
func (s *Server) Run(ctx context.Context) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", s.config.Address.String())
	if err != nil {
		return newError("listen", KindListen, err)
	}
	return s.Serve(ctx, listener)
}

// Serve serves on a listener until the context is cancelled, then waits up to 5 s for calls in progress.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	connCtx, closeConns := context.WithCancel(context.WithoutCancel(ctx))
	defer closeConns()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			s.drain()
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return newError("accept", KindListen, err)
		}
		if err != nil {
			s.config.Logger.WithError(err).Warn("accepting a connection failed")
			continue
		}
		s.serveConnection(connCtx, conn)
	}
}

func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	bounded := newBoundedConn(conn, serverIdleTimeout, &s.traffic)
	handler := &connectionHandler{server: s, slots: make(chan struct{}, maxCallsPerConnection)}
	jsonrpc2.NewConn(ctx, newStream(bounded), jsonrpc2.AsyncHandler(handler), jsonrpc2.SetLogger(discardLogger{}))
}

// connectionHandler handles the calls of one connection.
type connectionHandler struct {
	server *Server
	slots  chan struct{}
}

// Handle handles one call. The call counts as in progress until its reply is written, so that a drain does not close
// the connection before that.
func (h *connectionHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	h.slots <- struct{}{}
	defer func() { <-h.slots }()
	if request.Notif {
		return
	}
	if request.Method == methodPing {
		_ = conn.Reply(ctx, request.ID, struct{}{})
		return
	}
	if !h.server.calls.TryAcquire(1) {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: CodeStopping, Message: "the process is stopping or has too many calls in progress"})
		return
	}
	defer h.server.calls.Release(1)
	result, replyErr := h.server.handle(ctx, request)
	if replyErr != nil {
		_ = conn.ReplyWithError(ctx, request.ID, replyErr)
		return
	}
	if err := conn.Reply(ctx, request.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		h.server.config.Logger.WithField("method", request.Method).WithError(err).Error("encoding a reply failed")
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: CodeInternal, Message: "internal error"})
	}
}

func (s *Server) handle(ctx context.Context, request *jsonrpc2.Request) (result any, replyErr *jsonrpc2.Error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.config.Logger.WithField("method", request.Method).Errorf("handler panicked: %v", recovered)
			replyErr = &jsonrpc2.Error{Code: CodeInternal, Message: "internal error"}
		}
	}()
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := s.config.Handler.Handle(ctx, request.Method, params)
	if err != nil {
		return nil, s.replyError(err)
	}
	return result, nil
}

func (s *Server) replyError(err error) *jsonrpc2.Error {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		return &jsonrpc2.Error{Code: CodeInternal, Message: err.Error()}
	}
	if remote.Code == CodeMethodNotFound || remote.Code == CodeInvalidParams {
		s.invalid.Add(1)
	}
	return &jsonrpc2.Error{Code: remote.Code, Message: remote.Message}
}

func (s *Server) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := s.calls.Acquire(ctx, maxCalls); err != nil {
		s.config.Logger.Warn("calls were still in progress at the end of the drain timeout")
	}
}

// Decode decodes the parameters of a call. The error is a *RemoteError with CodeInvalidParams.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, &RemoteError{Code: CodeInvalidParams, Message: fmt.Sprintf("parameters are not valid: %v", err)}
	}
	return value, nil
}

// MethodNotFound returns the error for an unknown method.
func MethodNotFound(method string) error {
	return &RemoteError{Code: CodeMethodNotFound, Message: fmt.Sprintf("method %q is not known", method)}
}
