package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/locator"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/publisher"
)

// gateway is the state of the process.
type gateway struct {
	settings      *loader.Settings
	log           logrus.FieldLogger
	now           func() time.Time
	drainTiming   drainTiming
	dial          dialer
	pool          *messenger.Pool
	events        *publisher.Publisher
	environment   atomic.Pointer[environment]
	config        *configuration
	scheduler     *scheduler
	upstreams     *upstreamTable
	members       *memberTable
	zones         *zoneTable
	records       *records
	metrics       *metrics
	explain       *explainLog
	levels        *serviceLevels
	eventQueue    chan requestEvent
	droppedEvents atomic.Uint64
	stopping      atomic.Bool
	activeCount   atomic.Int64

	locatorLock sync.Mutex
	locator     *locator.Locator

	activeRequestsLock sync.Mutex
	activeRequests     map[string]*activeRequest

	peersLock sync.Mutex
	peers     map[netip.AddrPort]*upstreamClient

	// background tracks the goroutines that outlive the request that started them. They must end when done is closed.
	background sync.WaitGroup
	done       chan struct{}
}

// drainTiming holds the timeouts of a graceful drain. Tests shorten them.
type drainTiming struct {
	directoryLifetime time.Duration
	propagationTime   time.Duration
	timeout           time.Duration
}

func defaultDrainTiming() drainTiming {
	return drainTiming{directoryLifetime: directoryLifetime, propagationTime: stopPropagationTime, timeout: drainTimeout}
}

func newGateway(settings *loader.Settings, log logrus.FieldLogger) (*gateway, error) {
	tlsConfig, err := settings.TLS.Config()
	if err != nil {
		return nil, err
	}
	g := &gateway{
		settings: settings, log: log, now: time.Now, drainTiming: defaultDrainTiming(),
		dial:           newDialer(settings.Overrides()),
		pool:           messenger.NewPool(messenger.PoolConfig{Overrides: settings.Overrides(), Logger: log, TLS: tlsConfig}),
		events:         publisher.New(publisher.Config{Logger: log}),
		activeRequests: map[string]*activeRequest{},
		peers:          map[netip.AddrPort]*upstreamClient{},
		eventQueue:     make(chan requestEvent, eventQueueSize),
		done:           make(chan struct{}),
	}
	g.scheduler = newScheduler(schedulerConfig{zone: settings.Zone, now: g.now, shareFinding: g.shareFinding})
	g.upstreams = newUpstreamTable(settings.Zone, g.dial)
	g.members = newMemberTable(settings.VM, settings.Zone, g.now())
	g.zones = newZoneTable()
	g.records = newRecords(g.pool)
	g.metrics = newMetrics(g)
	g.explain = newExplainLog()
	g.levels = newServiceLevels(g)
	g.config = newConfiguration(g)
	return g, nil
}

// self returns the entry of this process in hop records.
func (g *gateway) self() hop {
	return hop{zone: g.settings.Zone, vm: g.settings.VM}
}

// listeners holds the open listeners of a gateway.
type listeners struct {
	caller   net.Listener
	internal net.Listener
	rpc      net.Listener
	admin    net.Listener
}

func (g *gateway) listen(ctx context.Context) (*listeners, error) {
	var ls listeners
	endpoints := []struct {
		address netip.AddrPort
		target  *net.Listener
	}{
		{g.settings.CallerAddress, &ls.caller},
		{g.settings.InternalAddress, &ls.internal},
		{g.settings.RPCAddress, &ls.rpc},
		{g.settings.AdminAddress, &ls.admin},
	}
	var config net.ListenConfig
	for _, endpoint := range endpoints {
		listener, err := config.Listen(ctx, "tcp", endpoint.address.String())
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", endpoint.address)
		}
		*endpoint.target = listener
	}
	return &ls, nil
}

// run serves until the context ends, and then drains gracefully. It returns nil if the drain interrupted no request.
func (g *gateway) run(ctx context.Context) error {
	ls, err := g.listen(ctx)
	if err != nil {
		return err
	}
	return g.serve(ctx, ls)
}

func (g *gateway) serve(ctx context.Context, ls *listeners) error {
	g.locator = locator.New(locator.Config{Lifetime: g.drainTiming.directoryLifetime, PropagationTime: g.drainTiming.propagationTime})
	tasksContext, endTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer endTasks()
	tasks, tasksContext := errgroup.WithContext(tasksContext)
	if err := g.subscribe(tasksContext, tasks); err != nil {
		return err
	}
	servers := []*http.Server{newServer(g.callerRoutes()), newServer(g.internalRoutes())}
	admin := newServer(g.adminRoutes())
	for i, listener := range []net.Listener{ls.caller, ls.internal} {
		tasks.Go(func() error { return ignoreClosed(servers[i].Serve(listener)) })
	}
	tasks.Go(func() error { return ignoreClosed(admin.Serve(ls.admin)) })
	tasks.Go(func() error { return g.rpcServer().Serve(tasksContext, ls.rpc) })
	g.startLoops(tasksContext, tasks)
	select {
	case <-ctx.Done():
	case <-tasksContext.Done():
	}
	drainErr := g.drain(tasksContext, servers)
	endTasks()
	_ = admin.Close()
	return g.waitAndClose(tasks, drainErr)
}

func (g *gateway) waitAndClose(tasks *errgroup.Group, drainErr error) error {
	err := tasks.Wait()
	close(g.done)
	g.background.Wait()
	_ = g.events.Close()
	_ = g.pool.Close()
	g.closeIdleConnections()
	if err == nil || eris.Is(err, context.Canceled) {
		return drainErr
	}
	return err
}

func (g *gateway) closeIdleConnections() {
	for _, u := range g.upstreams.all() {
		u.client.closeIdle()
	}
	g.peersLock.Lock()
	defer g.peersLock.Unlock()
	for _, client := range g.peers {
		client.closeIdle()
	}
}

func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// loop calls a function immediately and then at an interval until the context ends.
func loop(ctx context.Context, interval time.Duration, run func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		run(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *gateway) startLoops(ctx context.Context, tasks *errgroup.Group) {
	periodicTasks := []struct {
		interval time.Duration
		run      func(context.Context)
	}{
		{configurationInterval, g.config.poll},
		{platformInterval, g.pollPlatform},
		{healthInterval, g.pollUpstreams},
		{heartbeatInterval, g.sendHeartbeats},
		{reportInterval, g.levels.send},
		{tickInterval, func(context.Context) { g.scheduler.tick() }},
	}
	for _, task := range periodicTasks {
		tasks.Go(func() error { return loop(ctx, task.interval, task.run) })
	}
}

// sleep waits and reports whether the process continues to run.
func (g *gateway) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.done:
		return false
	}
}
