package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/locator"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
	"sequoiaspread.example/sequoia/watcher"
)

const (
	storeFile = "coordinator.db"
	// entryTimeout is the silence after which an entry VM is no longer named to callers; it covers three reports.
	entryTimeout = 2 * time.Second
	// handOverTimeout bounds how long a stopping leader waits for its successor.
	handOverTimeout  = 2 * time.Second
	handOverInterval = 50 * time.Millisecond
	// restartPause is the pause before the disk is tried again after a failed write.
	restartPause = 500 * time.Millisecond
)

// Config holds the settings of a Coordinator.
type Config struct {
	// Address is where peers and entry VMs call.
	Address netip.AddrPort
	// Listen is where this process takes these calls if not on Address, as behind address translation.
	Listen netip.AddrPort
	// Seeds returns the addresses of some coordinators, as the settings name them now.
	Seeds func() []netip.AddrPort
	// First is true at the first start of the whole system only.
	First      bool
	DataFolder string
	Logger     logrus.FieldLogger
	// Lifetime is how long callers may use an answer of Locate.
	Lifetime time.Duration
	// Region is where this process runs; it lists the upstreams of this region for the entry VMs.
	Region string
	Source watcher.Source
	// ListRate is the rate in calls per second that the list of upstreams accepts.
	ListRate float64
	// Homes returns the regions that all routes of a host allow; nil means all. It is called with the state in force.
	Homes func(state registrar.State, host string) []string
	// Heartbeat and ElectionTimeout are those of the agreement; 0 selects its defaults.
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
}

// Coordinator is one process of the control plane.
type Coordinator struct {
	config Config
	logger logrus.FieldLogger
	pool   *messenger.Pool
	member atomic.Pointer[member]

	mu      sync.Mutex
	fleet   *fleetserver.Table
	listing listing
	tally   *isolator.LossCounter
}

// New returns a coordinator that does nothing before Run.
func New(config Config) *Coordinator {
	if !config.Listen.IsValid() {
		config.Listen = config.Address
	}
	return &Coordinator{
		config: config, logger: config.Logger, fleet: fleetserver.NewTable(entryTimeout),
		pool: messenger.NewPool(messenger.PoolConfig{Logger: config.Logger}), tally: isolator.NewLossCounter(),
	}
}

func (c *Coordinator) seeds() []netip.AddrPort {
	return c.config.Seeds()
}

// Run takes part in the agreement until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	server := messenger.NewServer(messenger.ServerConfig{Address: c.config.Listen, Handler: c, Logger: c.logger})
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupContext := errgroup.WithContext(work)
	group.Go(func() error { return server.Run(groupContext) })
	group.Go(func() error { return c.live(groupContext) })
	upstreams := watcher.New(watcher.Config{Source: c.config.Source, Sink: sink{c}, Logger: c.logger, CallsPerSecond: c.config.ListRate})
	group.Go(func() error { return upstreams.Run(groupContext) })
	select {
	case <-ctx.Done():
		c.handOver(groupContext)
	case <-groupContext.Done():
	}
	stop()
	err := group.Wait()
	return errors.Join(err, c.pool.Close())
}

// live takes part in the agreement as long as the disk allows. After a failed write the state on the disk is unknown,
// so the member ends and a new one starts from what the disk holds; meanwhile the directory goes on.
func (c *Coordinator) live(ctx context.Context) error {
	first := c.config.First
	for {
		err := c.withStore(ctx, first)
		if ctx.Err() != nil || err == nil {
			return err
		}
		c.member.Store(nil)
		c.logger.WithError(err).Error("member ended and starts again from its disk")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartPause):
		}
	}
}

// withStore opens the disk and runs one member after another: one that was replaced gives up its state and joins anew.
func (c *Coordinator) withStore(ctx context.Context, first bool) error {
	store, err := storer.Open(storer.Config{Path: filepath.Join(c.config.DataFolder, storeFile)})
	if err != nil {
		return wrapError("open store", KindStart, err)
	}
	defer func() {
		if err := store.Close(); err != nil {
			c.logger.WithError(err).Warn("store could not be closed")
		}
	}()
	disk := agreer.NewDisk(store)
	for {
		m, err := c.newMember(disk, first)
		if err != nil {
			return wrapError("load member", KindStart, err)
		}
		err = c.runMember(ctx, m)
		if !errors.Is(err, errRetired) {
			return err
		}
		c.logger.WithField("member", string(m.id)).Warn("this member was replaced and joins anew without its state")
		if err := disk.Wipe(); err != nil {
			return wrapError("wipe member", KindStart, err)
		}
		disk = agreer.NewDisk(store)
		first = false
	}
}

func (c *Coordinator) runMember(ctx context.Context, m *member) error {
	c.member.Store(m)
	group, groupContext := errgroup.WithContext(ctx)
	group.Go(func() error { return m.agreement.Run(groupContext) })
	group.Go(func() error { return c.keepMembers(groupContext, m) })
	return group.Wait()
}

// handOver gives leadership to another voter before a planned stop.
func (c *Coordinator) handOver(ctx context.Context) {
	m := c.member.Load()
	if m == nil || !m.agreement.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for m.agreement.Status().Leader == "" || m.agreement.IsLeader() {
		if err := m.agreement.TransferLeadership(ctx); err != nil {
			c.logger.WithError(err).Warn("leadership was not handed over")
			return
		}
		select {
		case <-ctx.Done():
			c.logger.Warn("no other voter took over leadership in time")
			return
		case <-time.After(handOverInterval):
		}
	}
}

// Handle answers a jsonrpc2 call of a peer or an entry VM.
func (c *Coordinator) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if answer, ok := fleetserver.Methods(c)[method]; ok {
		return answer(ctx, params)
	}
	m := c.member.Load()
	if m == nil {
		return nil, &messenger.RemoteError{Code: messenger.CodeInternal, Message: "the member has not started yet"}
	}
	answer, ok := m.agreement.Methods(func(agreer.JoinRequest) error { return nil })[method]
	if !ok {
		return nil, messenger.MethodNotFound(method)
	}
	return answer(ctx, params)
}

// Put proposes a document that was checked, and returns once it or a higher version is durable on a majority.
func (c *Coordinator) Put(ctx context.Context, version uint64, text []byte) error {
	_, err := c.propose(ctx, registrar.Command{Put: &registrar.Put{Version: version, Text: text}})
	return err
}

// Evacuate starts or ends the evacuation of an availability zone.
func (c *Coordinator) Evacuate(ctx context.Context, zone string, active bool) error {
	_, err := c.propose(ctx, registrar.Command{Evacuate: &registrar.Evacuate{Zone: zone, Active: active}})
	return err
}

// Read returns the newest state; it passes through the agreement, so that a cut-off member cannot answer.
func (c *Coordinator) Read(ctx context.Context) (registrar.State, error) {
	outcome, err := c.propose(ctx, registrar.Command{Read: true})
	if err != nil {
		return registrar.State{}, err
	}
	if outcome.State == nil {
		return registrar.State{}, wrapError("read", KindUndecided, eris.New("the outcome holds no state"))
	}
	return *outcome.State, nil
}

func (c *Coordinator) propose(ctx context.Context, command registrar.Command) (registrar.Outcome, error) {
	m := c.member.Load()
	if m == nil {
		return registrar.Outcome{}, wrapError("propose", KindNotMember, eris.New("the member has not started yet"))
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return registrar.Outcome{}, wrapError("propose", KindUndecided, err)
	}
	command.ID = id.String()
	outcome, err := m.agreement.Propose(ctx, command)
	if err != nil {
		return outcome, wrapError("propose", KindUndecided, err)
	}
	return outcome, nil
}

func (c *Coordinator) stateChanged(state registrar.State) {
	c.logger.WithFields(logrus.Fields{
		"revision": state.Revision, "version": state.Version, "evacuated": state.Evacuated,
	}).Info("state is in force")
}

// InForce returns the state as applied here, which may lag behind the newest; after a restart it is empty until a
// leader has confirmed it.
func (c *Coordinator) AppliedState() registrar.State {
	if m := c.member.Load(); m != nil {
		return m.inForce(time.Now())
	}
	return registrar.State{}
}

// Logged returns the state at the end of the log of a restarted voter.
func (c *Coordinator) ReplayedState() registrar.State {
	if m := c.member.Load(); m != nil {
		return m.logged
	}
	return registrar.State{}
}

// Report takes in the heartbeat of an entry VM.
func (c *Coordinator) HandleHeartbeat(report fleetserver.Heartbeat) fleetserver.HeartbeatReply {
	now := time.Now()
	coordinators := c.coordinators()
	revision := c.AppliedState().Revision
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fleet.Record(now, report) {
		return fleetserver.HeartbeatReply{Revision: revision, UnknownVM: true}
	}
	fleet, err := c.fleet.Fleet(now, coordinators)
	if err != nil {
		c.logger.WithError(err).Error("fleet cannot be encoded")
	}
	reply := c.fleet.HeartbeatReply(fleet, report)
	reply.Revision = revision
	if m := c.member.Load(); m != nil && !m.confirmed.Load() {
		reply.LogPosition = m.position
	}
	for _, loss := range report.Losses {
		c.tally.Add(now, loss)
	}
	reply.BlockedRequests = c.tally.Refused(now)
	if entry, ok := c.fleet.EntryVM(report.Name); ok && entry.Region == c.config.Region {
		reply.UpstreamList = c.listing.answer(now, report.UpstreamsDigest)
	}
	return reply
}

// coordinators returns the addresses of all members, sorted.
func (c *Coordinator) coordinators() []netip.AddrPort {
	m := c.member.Load()
	if m == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(m.agreement.Status().Membership.Addresses), netip.AddrPort.Compare)
}

// Locate returns the entry VMs that a caller should use: those of its region, and when none of them is live those of
// the regions that the routes of the host allow.
func (c *Coordinator) Locate(host, region, zone string) locator.List {
	now := time.Now()
	c.mu.Lock()
	live := c.fleet.Live(now)
	c.mu.Unlock()
	homes := c.config.Homes(c.AppliedState(), host)
	near := usable(live, func(e fleetserver.EntryVM) bool { return e.Region == region })
	if len(near) == 0 {
		near = usable(live, func(e fleetserver.EntryVM) bool { return allowed(homes, e.Region) })
	}
	list := locator.New(locator.Config{Lifetime: c.config.Lifetime})
	list.SetVMs(now, near)
	return list.Locate(locator.Caller{Zone: zone, Region: region})
}

func allowed(homes []string, region string) bool {
	if len(homes) == 0 {
		return true
	}
	for _, home := range homes {
		if home == region {
			return true
		}
	}
	return false
}

func usable(live []fleetserver.EntryVM, take func(fleetserver.EntryVM) bool) []locator.VM {
	var vms []locator.VM
	for _, entry := range live {
		if !entry.Stopping && take(entry) {
			vms = append(vms, locator.VM{
				Name: entry.Name, Zone: entry.Zone, Region: entry.Region, Address: entry.CallerAddress, State: locator.StateLive,
			})
		}
	}
	return vms
}

// Status returns the state of the agreement for display.
func (c *Coordinator) Status() (replicator.Status, bool) {
	if m := c.member.Load(); m != nil {
		return m.agreement.Status(), true
	}
	return replicator.Status{}, false
}
