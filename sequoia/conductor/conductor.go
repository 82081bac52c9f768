package conductor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
	"sequoiaspread.example/sequoia/gossiper"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/watcher"
)

const (
	// headerTimeout bounds how long a connection can be held without a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is above what callers keep idle connections, so that their requests do not cross our close.
	idleTimeout = 90 * time.Second
	headerBytes = 64 << 10
	// noticeTime is how long a stopping VM still takes requests: answers of the directory are used that long.
	noticeTime = 3 * time.Second
	// noticeMargin covers the way of a request that was sent at the end of the notice.
	noticeMargin = 200 * time.Millisecond
	// quietTime is how long no request came before a stop may end.
	quietTime    = 1500 * time.Millisecond
	stopInterval = 50 * time.Millisecond
	// stopMargin is kept before the end of the grace period, and closeTime is spent on closing within it.
	stopMargin = 700 * time.Millisecond
	closeTime  = 300 * time.Millisecond
)

// Config holds the settings of a Conductor.
type Config struct {
	Self fleetserver.EntryVM
	// Bind returns where this process listens for what others send to an address of Self; without it, on that address.
	ListenAddress func(announced netip.AddrPort) netip.AddrPort
	// Ready and Metrics are the addresses of the readiness check and the metrics.
	ReadinessAddress netip.AddrPort
	MetricsAddress   netip.AddrPort
	// Checks answers the readiness address, Figures the metrics address.
	ReadinessHandler http.Handler
	MetricsHandler   http.Handler
	// Coordinators returns the addresses that the settings name now.
	Coordinators func() []netip.AddrPort
	// Decode reads a document in the operators' format.
	DecodeDocument func(text []byte) (*director.Document, error)
	Answerer       *answerer.Answerer
	Client         *forwarder.Client
	Source         watcher.Source
	// ListRate is the rate in calls per second that the list of upstreams accepts from the fleet.
	ListRate float64
	// Grace is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	Logger      logrus.FieldLogger
}

// Conductor is the process of one entry VM.
type Conductor struct {
	config Config
	pool   *messenger.Pool
	report *reporter
	gossip *gossiper.Gossiper
}

// New returns a conductor that does nothing before Run.
func New(config Config) *Conductor {
	if config.ListenAddress == nil {
		config.ListenAddress = func(announced netip.AddrPort) netip.AddrPort { return announced }
	}
	pool := messenger.NewPool(messenger.PoolConfig{Logger: config.Logger})
	c := &Conductor{config: config, pool: pool}
	c.gossip = gossiper.New(gossiper.Config{
		Name: config.Self.Name, Address: config.ListenAddress(config.Self.GossipAddress), Own: config.Answerer.LocalLoad, Hear: config.Answerer.UpdatePeer, Logger: config.Logger,
	})
	c.report = newReporter(config, fleetserver.NewClient(pool), c.setFleet)
	return c
}

// setFleet tells the parts of a new fleet.
func (c *Conductor) setFleet(fleet []fleetserver.EntryVM) {
	c.config.Answerer.SetFleet(fleet)
	var near, far []netip.AddrPort
	for _, entry := range fleet {
		switch {
		case entry.Region != c.config.Self.Region || entry.Name == c.config.Self.Name:
		case entry.Zone == c.config.Self.Zone:
			near = append(near, entry.GossipAddress)
		default:
			far = append(far, entry.GossipAddress)
		}
	}
	c.gossip.SetPeers(near, far)
}

// Run serves until the context ends and the planned stop is over.
func (c *Conductor) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupContext := errgroup.WithContext(work)
	callers, err := c.serve(group, c.config.ListenAddress(c.config.Self.CallerAddress), c.config.Answerer.CallerHandler())
	if err != nil {
		return err
	}
	peers, err := c.serve(group, c.config.ListenAddress(c.config.Self.PeerAddress), c.config.Answerer.PeerHandler())
	if err != nil {
		return err
	}
	checks, err := c.serve(group, c.config.ReadinessAddress, c.config.ReadinessHandler)
	if err != nil {
		return err
	}
	figures, err := c.serve(group, c.config.MetricsAddress, c.config.MetricsHandler)
	if err != nil {
		return err
	}
	group.Go(func() error { return c.report.run(groupContext) })
	group.Go(func() error { return c.gossip.Run(groupContext) })
	group.Go(func() error { c.config.Client.Run(groupContext); return nil })
	upstreams := watcher.New(watcher.Config{
		Source: c.config.Source, Sink: sink{c}, Logger: c.config.Logger, CallsPerSecond: c.config.ListRate,
	})
	group.Go(func() error { return upstreams.Run(groupContext) })
	select {
	case <-ctx.Done():
		c.stop(callers, peers)
	case <-groupContext.Done():
	}
	stopWork()
	closeAll(callers, peers, checks, figures)
	err = group.Wait()
	return errors.Join(err, c.pool.Close())
}

func (c *Conductor) serve(group *errgroup.Group, address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, wrapError("listen on "+address.String(), KindListen, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	group.Go(func() error {
		err := server.Serve(socket)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return wrapError("serve "+address.String(), KindListen, err)
	})
	return server, nil
}

// stop tells the directory and the callers to use other VMs and goes on until none comes any more, or until the grace
// period is nearly over. Listeners stay open meanwhile, so that a caller that still has the address gets an answer; after
// the notice it is a refusal if the request may outlast the process.
func (c *Conductor) stop(callers, peers *http.Server) {
	began := time.Now()
	deadline := began.Add(c.config.GracePeriod - stopMargin)
	c.config.Logger.Info("planned stop began")
	c.config.Answerer.Drain(began.Add(noticeTime-noticeMargin), deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c.report.announce(ctx)
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !c.over(began) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	last, cancelLast := context.WithTimeout(context.Background(), closeTime)
	defer cancelLast()
	var group errgroup.Group
	for _, server := range []*http.Server{callers, peers} {
		group.Go(func() error { return server.Shutdown(last) })
	}
	if err := group.Wait(); err != nil {
		c.config.Logger.WithError(err).Warn("requests were still in progress at the end of the grace period")
	}
	c.config.Logger.Info("planned stop ended")
}

// over reports whether callers had time to hear of the stop and none came lately.
func (c *Conductor) over(began time.Time) bool {
	active, last := c.config.Answerer.Activity()
	return active == 0 && time.Since(began) >= noticeTime && time.Since(last) >= quietTime
}

func closeAll(servers ...*http.Server) {
	for _, server := range servers {
		// A server that was shut down before has nothing left to close.
		_ = server.Close()
	}
}
