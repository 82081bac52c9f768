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
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
	"sequoiaspread.example/sequoia/watcher"
)

const (
	storeFile = "coordinator.db"
	// entryVMTimeout is the time without a heartbeat after which an entry VM is no longer returned to callers. It
	// covers three heartbeats.
	entryVMTimeout = 2 * time.Second
	// leadershipTransferTimeout limits how long a stopping leader waits for another voter to take over.
	leadershipTransferTimeout  = 2 * time.Second
	leadershipTransferInterval = 50 * time.Millisecond
	// diskRetryDelay is the delay before the disk is opened again after a failed write.
	diskRetryDelay = 500 * time.Millisecond
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
	locateLog *locateLog

	mu        sync.Mutex
	fleet     *fleetserver.Table
	upstreams cachedUpstreams
	losses    *isolator.LossCounter
	suspects  *suspects
}

// New returns a coordinator that Run starts.
func New(config Config) *Coordinator {
	if !config.Listen.IsValid() {
		config.Listen = config.Address
	}
	return &Coordinator{
		config: config, logger: config.Logger, fleet: fleetserver.NewTable(entryVMTimeout),
		pool: messenger.NewPool(messenger.PoolConfig{Logger: config.Logger}), losses: isolator.NewLossCounter(),
		locateLog: &locateLog{reasons: map[locateReason]locateCount{}}, suspects: newSuspects(config.Logger),
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

// superviseMember runs the consensus member and restarts it after a disk failure. After a failed write the state on
// disk is unknown, so the member ends and a new one starts from what the disk holds. The directory of entry VMs stays
// available meanwhile.
func (c *Coordinator) superviseMember(ctx context.Context) error {
	initialStart := c.config.InitialStart
	for {
		err := c.runMembers(ctx, initialStart)
		if ctx.Err() != nil || err == nil {
			return err
		}
		c.member.Store(nil)
		c.logger.WithError(err).Error("consensus member failed; restarting it from disk")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskRetryDelay):
		}
	}
}

// runMembers opens the disk and runs one member after another. A member that was replaced deletes its state and joins
// again with a new id.
func (c *Coordinator) runMembers(ctx context.Context, initialStart bool) error {
	store, err := storer.Open(storer.Config{Path: filepath.Join(c.config.DataFolder, storeFile)})
	if err != nil {
		return wrapError("open store", KindStart, err)
	}
	defer func() {
		if err := store.Close(); err != nil {
			c.logger.WithError(err).Warn("closing the store failed")
		}
	}()
	disk := agreer.NewDisk(store)
	for {
		m, err := c.newMember(disk, initialStart)
		if err != nil {
			return wrapError("load member", KindStart, err)
		}
		err = c.runMember(ctx, m)
		if !errors.Is(err, errReplaced) {
			return err
		}
		c.logger.WithField("member", string(m.id)).Warn("member was replaced; deleting its state and joining with a new id")
		if err := disk.Wipe(); err != nil {
			return wrapError("wipe member", KindStart, err)
		}
		disk = agreer.NewDisk(store)
		initialStart = false
	}
}

func (c *Coordinator) runMember(ctx context.Context, m *member) error {
	c.member.Store(m)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.consensus.Run(groupCtx) })
	group.Go(func() error { return c.maintainMembership(groupCtx, m) })
	return group.Wait()
}

// transferLeadership transfers leadership to another voter before a graceful stop.
func (c *Coordinator) transferLeadership(ctx context.Context) {
	m := c.member.Load()
	if m == nil || !m.consensus.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	for m.consensus.Status().Leader == "" || m.consensus.IsLeader() {
		if err := m.consensus.TransferLeadership(ctx); err != nil {
			c.logger.WithError(err).Warn("leadership transfer failed")
			return
		}
		select {
		case <-ctx.Done():
			c.logger.Warn("leadership transfer timed out")
			return
		case <-time.After(leadershipTransferInterval):
		}
	}
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

// Put proposes a validated document. It returns once that version or a higher one is durable on a majority.
func (c *Coordinator) Put(ctx context.Context, version uint64, text []byte) error {
	put, err := registrar.NewPut(version, text)
	if err != nil {
		return wrapError("put", KindInvalid, err)
	}
	_, err = c.propose(ctx, registrar.Command{Put: put})
	return err
}

// Evacuate starts or ends the evacuation of an availability zone.
func (c *Coordinator) Evacuate(ctx context.Context, zone string, active bool) error {
	_, err := c.propose(ctx, registrar.Command{Evacuate: &registrar.Evacuate{Zone: zone, Active: active}})
	return err
}

// Read returns the newest state, with the document as plain text. It goes through the consensus log, so a partitioned
// member cannot return a stale state.
func (c *Coordinator) Read(ctx context.Context) (registrar.State, error) {
	outcome, err := c.propose(ctx, registrar.Command{Read: true})
	if err != nil {
		return registrar.State{}, err
	}
	if outcome.State == nil {
		return registrar.State{}, wrapError("read", KindUndecided, eris.New("the outcome holds no state"))
	}
	state := *outcome.State
	if state.Text, err = state.Document(); err != nil {
		return registrar.State{}, wrapError("read", KindInvalid, err)
	}
	return state, nil
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
	outcome, err := m.consensus.Propose(ctx, command)
	if err != nil {
		return outcome, wrapError("propose", KindUndecided, err)
	}
	return outcome, nil
}

func (c *Coordinator) logStateChange(state registrar.State) {
	c.logger.WithFields(logrus.Fields{
		"revision": state.Revision, "version": state.Version, "evacuated": state.Evacuated,
	}).Info("state is in force")
}

// AppliedState returns the state applied by this process, which may lag behind the newest one. After a restart it is
// empty until a leader has confirmed it.
func (c *Coordinator) AppliedState() registrar.State {
	if m := c.member.Load(); m != nil {
		return m.appliedState(time.Now())
	}
	return registrar.State{}
}

// ReplayedState returns the state at the end of the log of a restarted voter.
func (c *Coordinator) ReplayedState() registrar.State {
	if m := c.member.Load(); m != nil {
		return m.replayedState
	}
	return registrar.State{}
}

// HandleHeartbeat records the heartbeat of an entry VM and returns the reply.
func (c *Coordinator) HandleHeartbeat(heartbeat fleetserver.Heartbeat) fleetserver.HeartbeatReply {
	now := time.Now()
	coordinators := c.coordinatorAddresses()
	revision := c.AppliedState().Revision
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.record(now, heartbeat)
	if !c.fleet.Record(now, heartbeat) {
		return fleetserver.HeartbeatReply{Revision: revision, UnknownVM: true}
	}
	fleet, err := c.fleet.Fleet(now, coordinators)
	if err != nil {
		c.logger.WithError(err).Error("encoding the fleet failed")
	}
	reply := c.fleet.HeartbeatReply(fleet, heartbeat)
	reply.Revision = revision
	if m := c.member.Load(); m != nil && !m.confirmed.Load() {
		reply.LogPosition, reply.Unconfirmed = m.logPosition, true
		if revision > 0 && m.reportedUnconfirmed.CompareAndSwap(false, true) {
			c.logger.WithField("revision", revision).Warn("reporting a state that no leader has confirmed")
		}
	}
	for _, loss := range heartbeat.Losses {
		c.losses.Add(now, loss)
	}
	reply.BlockedRequests = c.losses.Refused(now)
	reply.Suspicions = c.suspects.list(now)
	if vm, ok := c.fleet.EntryVM(heartbeat.Name); ok && vm.Region == c.config.Region {
		reply.UpstreamList = c.upstreams.listFor(now, heartbeat.UpstreamsDigest)
	}
	return reply
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
