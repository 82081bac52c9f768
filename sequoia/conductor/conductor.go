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

	"sequoiaspread.example/sequoia/acceptor"
	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
	"sequoiaspread.example/sequoia/gossiper"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/watcher"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes apply without a guard.
	// headerTimeout limits how long a connection may stay open without a complete request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that the server does not close a connection while a
	// request is on its way.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	// propagationTime is how long a stopping VM still accepts requests, because callers use directory responses for
	// that long.
	propagationTime = 3 * time.Second
	// transitMargin covers the transit time of a request sent at the end of propagationTime.
	transitMargin = 200 * time.Millisecond
	// idleTime is the time without a new request after which a drain may end.
	idleTime           = 1500 * time.Millisecond
	drainCheckInterval = 50 * time.Millisecond
	// shutdownMargin is the time reserved at the end of the grace period, of which closeTimeout is spent on closing
	// the servers.
	shutdownMargin = 700 * time.Millisecond
	closeTimeout   = 300 * time.Millisecond
)

// Config holds the settings of a Conductor.
type Config struct {
	Self fleetserver.EntryVM
	// ListenAddress maps an announced address of Self to the local address to listen on; nil means the same address.
	ListenAddress func(announced netip.AddrPort) netip.AddrPort
	// ReadinessAddress and MetricsAddress are the addresses of the readiness check and the metrics.
	ReadinessAddress netip.AddrPort
	MetricsAddress   netip.AddrPort
	// ReadinessHandler serves ReadinessAddress, and MetricsHandler serves MetricsAddress.
	ReadinessHandler http.Handler
	MetricsHandler   http.Handler
	// Coordinators returns the coordinator addresses of the current settings.
	Coordinators func() []netip.AddrPort
	// DecodeDocument decodes a document in the operators' format.
	DecodeDocument func(text []byte) (*director.Document, error)
	Answerer       *answerer.Answerer
	Client         *forwarder.Client
	Source         watcher.Source
	// ListRate is the rate in calls per second that the upstream list accepts from the whole fleet.
	ListRate float64
	// Metrics may be nil.
	Metrics *Metrics
	// Guard watches the connections of all listeners; it may be nil.
	Guard *acceptor.Guard
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	Logger      logrus.FieldLogger
}

// Conductor is the process of one entry VM.
type Conductor struct {
	config     Config
	pool       *messenger.Pool
	heartbeats *heartbeater
	gossiper   *gossiper.Gossiper
}

// New returns a conductor that Run starts.
func New(config Config) *Conductor {
	if config.ListenAddress == nil {
		config.ListenAddress = func(announced netip.AddrPort) netip.AddrPort { return announced }
	}
	pool := messenger.NewPool(messenger.PoolConfig{Logger: config.Logger})
	config.Metrics.observeTraffic(pool)
	c := &Conductor{config: config, pool: pool}
	c.gossiper = gossiper.New(gossiper.Config{
		Name: config.Self.Name, Address: config.ListenAddress(config.Self.GossipAddress), Logger: config.Logger,
		LocalLoad: config.Answerer.LocalLoad, OnPeerLoad: config.Answerer.UpdatePeer,
		LocalReports: config.Answerer.LocalReports, OnPeerReports: config.Answerer.UpdateReports,
	})
	c.heartbeats = newHeartbeater(config, fleetserver.NewClient(pool), c.setFleet)
	config.Answerer.SetStreamFinder(c.heartbeats)
	config.Answerer.AwaitEstablishedVersions()
	return c
}

// setFleet passes a new fleet to the answerer and its addresses to the gossiper.
func (c *Conductor) setFleet(fleet []fleetserver.EntryVM) {
	c.config.Answerer.SetFleet(fleet)
	var sameZone, otherZones []netip.AddrPort
	for _, vm := range fleet {
		switch {
		case vm.Region != c.config.Self.Region || vm.Name == c.config.Self.Name:
		case vm.Zone == c.config.Self.Zone:
			sameZone = append(sameZone, vm.GossipAddress)
		default:
			otherZones = append(otherZones, vm.GossipAddress)
		}
	}
	c.gossiper.SetPeers(sameZone, otherZones)
}

// Run serves until the context is cancelled and the graceful drain is complete.
func (c *Conductor) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	group, groupCtx := errgroup.WithContext(runCtx)
	callerServer, err := c.serve(group, acceptor.ListenerCallers, c.config.ListenAddress(c.config.Self.CallerAddress), c.config.Answerer.CallerHandler())
	if err != nil {
		return err
	}
	peerServer, err := c.serve(group, acceptor.ListenerPeers, c.config.ListenAddress(c.config.Self.PeerAddress), c.config.Answerer.PeerHandler())
	if err != nil {
		return err
	}
	readinessServer, err := c.serve(group, acceptor.ListenerReadiness, c.config.ReadinessAddress, c.config.ReadinessHandler)
	if err != nil {
		return err
	}
	metricsServer, err := c.serve(group, acceptor.ListenerMetrics, c.config.MetricsAddress, c.config.MetricsHandler)
	if err != nil {
		return err
	}
	if c.config.Guard != nil {
		group.Go(func() error { c.config.Guard.Run(groupCtx); return nil })
	}
	group.Go(func() error { return c.heartbeats.run(groupCtx) })
	group.Go(func() error { c.heartbeats.publishStreams(groupCtx); return nil })
	group.Go(func() error { return c.gossiper.Run(groupCtx) })
	group.Go(func() error { c.config.Client.Run(groupCtx); return nil })
	upstreamWatcher := watcher.New(watcher.Config{
		Source: c.config.Source, Sink: upstreamSink{c}, Logger: c.config.Logger, CallsPerSecond: c.config.ListRate,
	})
	group.Go(func() error { return upstreamWatcher.Run(groupCtx) })
	select {
	case <-ctx.Done():
		c.drain(callerServer, peerServer)
	case <-groupCtx.Done():
	}
	cancelRun()
	closeServers(callerServer, peerServer, readinessServer, metricsServer)
	err = group.Wait()
	return errors.Join(err, c.pool.Close())
}

func (c *Conductor) serve(group *errgroup.Group, name string, address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, wrapError("listen on "+address.String(), KindListen, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if c.config.Guard != nil {
		c.config.Guard.Attach(server)
		listener = c.config.Guard.Listener(name, listener)
	}
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return wrapError("serve "+address.String(), KindListen, err)
	})
	return server, nil
}

// drain announces to the coordinators and callers that this VM is stopping, and keeps serving until no more requests
// arrive or the grace period is nearly over. The listeners stay open, so that a caller that still uses the address
// gets a response. After propagationTime, a request that may outlast the process is refused.
func (c *Conductor) drain(callerServer, peerServer *http.Server) {
	startedAt := time.Now()
	deadline := startedAt.Add(c.config.GracePeriod - shutdownMargin)
	c.config.Logger.Info("graceful drain started")
	c.config.Answerer.Drain(startedAt.Add(propagationTime-transitMargin), deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c.heartbeats.sendToAll(ctx)
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !c.drained(startedAt) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	c.shutDown(deadline, callerServer, peerServer)
	c.config.Logger.Info("graceful drain finished")
}

// shutDown closes servers for new requests. One that came in the last moment is waited for until shortly after the end of
// the drain, when all requests get a final response.
func (c *Conductor) shutDown(drainEnd time.Time, servers ...*http.Server) {
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error { return server.Shutdown(closeCtx) })
	}
	// Connections on which no request has come count as well; only requests matter.
	_ = group.Wait()
	active, _ := c.config.Answerer.Activity()
	for ; active > 0 && time.Now().Before(drainEnd.Add(closeTimeout)); active, _ = c.config.Answerer.Activity() {
		time.Sleep(drainCheckInterval)
	}
	if active > 0 {
		c.config.Logger.WithField("requests", active).Warn("requests were still in progress at the end of the grace period")
	}
}

// drained reports whether propagationTime has passed, no request is active and none has arrived lately.
func (c *Conductor) drained(startedAt time.Time) bool {
	active, lastRequest := c.config.Answerer.Activity()
	return active == 0 && time.Since(startedAt) >= propagationTime && time.Since(lastRequest) >= idleTime
}

func closeServers(servers ...*http.Server) {
	for _, server := range servers {
		// Close has no effect on a server that was shut down before.
		_ = server.Close()
	}
}
