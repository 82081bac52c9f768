package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/pinner"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/watcher"
)

// Config holds the settings of a Coordinator.
type Config struct {
	// Address is the address at which peers and entry VMs call this process.
	Address netip.AddrPort
	// Listen is the local address to listen on if it differs from Address, as behind address translation.
	Listen netip.AddrPort
	// Seeds returns the addresses of some coordinators according to the current settings.
	Seeds func() []netip.AddrPort
	// InitialStart is true only at the first start of the whole system.
	InitialStart bool
	DataFolder   string
	Logger       logrus.FieldLogger
	// Lifetime is how long callers may use a result of Locate.
	Lifetime time.Duration
	// Region is the region of this process, which lists the upstreams of that region for the entry VMs.
	Region string
	Source watcher.Source
	// ListRate is the rate in calls per second that the upstream list accepts.
	ListRate float64
	// Homes returns the home regions of a host according to the applied state.
	Homes func(state registrar.State, host string) director.Homes
	// Rates returns the rate limits by organisation according to the applied state, in units per second. It may be nil.
	Rates func(state registrar.State) map[string]float64
	// Metrics may be nil.
	Metrics *Metrics
	// HeartbeatInterval and ElectionTimeout are the timings of the consensus protocol; 0 selects its defaults.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
}

// Coordinator is one process of the control plane.
type Coordinator struct {
	config Config
	logger logrus.FieldLogger
	pool   *messenger.Pool
	member atomic.Pointer[member]
	// locateLog bounds the log entries for directory answers.
	locateLog loader.LineLimiter[locateReason]

	mu        sync.Mutex
	fleet     *fleetserver.Table
	upstreams cachedUpstreams
	losses    *isolator.LossCounter
	suspects  *suspects
	// pins holds which versions began the streams of the whole fleet.
	pins *pinner.Table
	// leases holds the shares of the organisations' rate limits.
	leases *leases
}

// New returns a coordinator that Run starts.
func New(config Config) *Coordinator {
	if !config.Listen.IsValid() {
		config.Listen = config.Address
	}
	return &Coordinator{
		config: config, logger: config.Logger, fleet: fleetserver.NewTable(fleetserver.EntryVMTimeout),
		pool: messenger.NewPool(messenger.PoolConfig{Logger: config.Logger}), losses: isolator.NewLossCounter(),
		suspects: newSuspects(config.Logger), pins: pinner.New(time.Now()),
		leases: newLeases(),
	}
}

func (c *Coordinator) seeds() []netip.AddrPort {
	return c.config.Seeds()
}

// Run serves calls and takes part in consensus until the context is cancelled.
func (c *Coordinator) Run(ctx context.Context) error {
	server := messenger.NewServer(messenger.ServerConfig{Address: c.config.Listen, Handler: c, Logger: c.logger})
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return server.Run(groupCtx) })
	group.Go(func() error { return c.superviseMember(groupCtx) })
	group.Go(func() error { c.watchLeadership(groupCtx); return nil })
	upstreamWatcher := watcher.New(watcher.Config{Source: c.config.Source, Sink: upstreamSink{c}, Logger: c.logger, CallsPerSecond: c.config.ListRate})
	group.Go(func() error { return upstreamWatcher.Run(groupCtx) })
	select {
	case <-ctx.Done():
		c.transferLeadership(groupCtx)
	case <-groupCtx.Done():
	}
	stop()
	err := group.Wait()
	return errors.Join(err, c.pool.Close())
}

// Handle handles a jsonrpc2 call of a peer or an entry VM.
func (c *Coordinator) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if handle, ok := fleetserver.Methods(c)[method]; ok {
		return handle(ctx, params)
	}
	m := c.member.Load()
	if m == nil {
		return nil, &messenger.RemoteError{Code: messenger.CodeInternal, Message: "the member has not started yet"}
	}
	handle, ok := m.consensus.Methods(func(agreer.JoinRequest) error { return nil })[method]
	if !ok {
		return nil, messenger.MethodNotFound(method)
	}
	return handle(ctx, params)
}

// coordinatorAddresses returns the addresses of all members, sorted.
func (c *Coordinator) coordinatorAddresses() []netip.AddrPort {
	m := c.member.Load()
	if m == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(m.consensus.Status().Membership.Addresses), netip.AddrPort.Compare)
}

// Status returns the consensus status for display.
func (c *Coordinator) Status() (replicator.Status, bool) {
	if m := c.member.Load(); m != nil {
		return m.consensus.Status(), true
	}
	return replicator.Status{}, false
}
