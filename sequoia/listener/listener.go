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
)

const (
	// headerTimeout bounds how long a connection can be held without a request.
	headerTimeout = 10 * time.Second
	// defaultDrain is longer than the longest answer of a stand-in.
	defaultDrain = 60 * time.Second
)

// Config holds the settings of a server; BeforeStop and Drain are optional.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	Logger  logrus.FieldLogger
	// BeforeStop runs when the context ends, while the address still accepts requests.
	BeforeShutdown func()
	// Drain bounds the wait for requests in progress.
	DrainTimeout time.Duration
}

// Run serves until ctx ends, and returns after the requests in progress have ended.
func Run(ctx context.Context, config Config) error {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", config.Address.String())
	if err != nil {
		return &Error{Op: "listen on " + config.Address.String(), Kind: KindListen, cause: eris.Wrap(err, "open socket")}
	}
	server := &http.Server{Handler: config.Handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(socket) }()
	config.Logger.WithField("address", socket.Addr().String()).Info("serving")
	select {
	case err := <-served:
		return &Error{Op: "serve " + config.Address.String(), Kind: KindServe, cause: err}
	case <-ctx.Done():
	}
	return stop(server, config)
}

// Notify returns a context that ends at SIGTERM or an interrupt.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
}

func stop(server *http.Server, config Config) error {
	config.Logger.Info("stopping")
	if config.BeforeShutdown != nil {
		config.BeforeShutdown()
	}
	drain := config.DrainTimeout
	if drain == 0 {
		drain = defaultDrain
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "stop", Kind: KindStop, cause: eris.Wrap(err, "wait for requests in progress")}
	}
	config.Logger.Info("stopped")
	return nil
}
