package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/acceptor"
)

const (
	// headerTimeout limits how long a connection may be open without a complete request header.
	headerTimeout = 10 * time.Second
	// defaultDrainTimeout is longer than the longest answer of the simulated services.
	defaultDrainTimeout = 60 * time.Second
)

// Config holds the settings of a server; BeforeShutdown, DrainTimeout and Guard are optional.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	Logger  logrus.FieldLogger
	// BeforeShutdown runs when the context ends, while the address still accepts requests.
	BeforeShutdown func()
	// DrainTimeout limits the wait for requests in progress.
	DrainTimeout time.Duration
	// Guard watches the connections, which it counts by Name, one of the names of acceptor.
	Guard *acceptor.Guard
	Name  string
}

// Run serves until ctx ends, and returns after the requests in progress have ended.
func Run(ctx context.Context, config Config) error {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", config.Address.String())
	if err != nil {
		return &Error{Op: "listen on " + config.Address.String(), Kind: KindListen, cause: eris.Wrap(err, "open socket")}
	}
	server := &http.Server{Handler: config.Handler, ReadHeaderTimeout: headerTimeout, ConnContext: withConnection}
	if config.Guard != nil {
		config.Guard.Attach(server)
		socket = config.Guard.Listener(config.Name, socket)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(socket) }()
	config.Logger.WithField("address", socket.Addr().String()).Info("serving")
	select {
	case err := <-serveErr:
		return &Error{Op: "serve " + config.Address.String(), Kind: KindServe, cause: err}
	case <-ctx.Done():
	}
	return shutdown(server, config)
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
}

func shutdown(server *http.Server, config Config) error {
	config.Logger.Info("stopping")
	if config.BeforeShutdown != nil {
		config.BeforeShutdown()
	}
	timeout := config.DrainTimeout
	if timeout == 0 {
		timeout = defaultDrainTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "stop", Kind: KindStop, cause: eris.Wrap(err, "wait for requests in progress")}
	}
	config.Logger.Info("stopped")
	return nil
}
