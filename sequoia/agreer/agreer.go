package agreer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/replicator"
)

// learnedLimit bounds the memory that senders can take; at most 7 VMs are planned for control.
const learnedLimit = 64

// Machine is the replicated state; all calls come from the goroutine of Run.
type StateMachine[C, O any] interface {
	// Encode turns a command into log data on the leader, right before it is proposed.
	Encode(command C) ([]byte, error)
	// Apply applies the data of one committed entry; equal entries in equal order must give equal states.
	Apply(data []byte) (O, error)
	// Settle runs after a batch of entries or a snapshot, before any outcome of it is given to a caller.
	BatchApplied() error
	// Snapshot returns the state as of the last Apply.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
	// RoleChanged reports that this member began or ended a role.
	RoleChanged()
}

// Config holds the parts of an Agreer; Find gives addresses that the agreement does not know, and may be nil.
type Config[C, O any] struct {
	ID             replicator.MemberID
	Address        netip.AddrPort
	Disk           *Disk
	DurableState   replicator.DurableState
	StateMachine   StateMachine[C, O]
	Pool           *messenger.Pool
	Logger         logrus.FieldLogger
	ResolveAddress func(id replicator.MemberID) (netip.AddrPort, bool)
	// Heartbeat and ElectionTimeout are those of the replicator; 0 selects its defaults.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
}

// Agreer is one member of the agreement with its disk and its connections to the others.
type Agreer[C, O any] struct {
	config      Config[C, O]
	agreed      *replicator.Replicator
	sender      *sender
	stopSending context.CancelFunc
	inputs      chan input[C, O]
	nextRef     uint64
	unplaced    map[uint64]chan result[O]
	placed      map[uint64]waiter[O]
	status      atomic.Pointer[replicator.Status]

	mu sync.Mutex
	// learned holds the addresses that members gave with their messages.
	learned map[replicator.MemberID]netip.AddrPort
}

// New returns a member that continues from its durable state; the machine gets the state of the snapshot.
func New[C, O any](config Config[C, O]) (*Agreer[C, O], error) {
	agreed, err := replicator.New(replicator.Config{
		ID: config.ID, Random: newRandom(config.ID, rand.Uint64()), HeartbeatInterval: config.HeartbeatInterval, ElectionTimeout: config.ElectionTimeout,
	}, config.DurableState)
	if err != nil {
		return nil, wrapError("load agreement", KindConsensus, err)
	}
	if config.DurableState.Snapshot.Index > 0 {
		if err := config.StateMachine.Restore(config.DurableState.Snapshot.Data); err != nil {
			return nil, wrapError("restore snapshot", KindConsensus, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agreer[C, O]{
		config: config, agreed: agreed, stopSending: stop, inputs: make(chan input[C, O], inputQueue),
		sender:   newSender(ctx, config.Address, config.Pool, config.Logger),
		unplaced: map[uint64]chan result[O]{}, placed: map[uint64]waiter[O]{}, learned: map[replicator.MemberID]netip.AddrPort{},
	}
	a.status.Store(ptr(agreed.Status()))
	return a, nil
}

// newRandom returns a source for election timeouts, which must differ between members even where their processes are
// given the same randomness at their start.
func newRandom(id replicator.MemberID, start uint64) *rand.Rand {
	return rand.New(rand.NewPCG(start, xxhash.Sum64String(string(id))))
}

// Status returns the state of the agreement as of the last input.
func (a *Agreer[C, O]) Status() replicator.Status {
	return *a.status.Load()
}

// IsLeader reports whether this member leads.
func (a *Agreer[C, O]) IsLeader() bool {
	return a.status.Load().Role == replicator.RoleLeader
}

// Waiting returns the number of inputs that were not handled yet.
func (a *Agreer[C, O]) QueueLength() int {
	return len(a.inputs)
}

// Close ends the sends of a member whose Run was never called.
func (a *Agreer[C, O]) Close() {
	a.stopSending()
	a.sender.wait()
}

// AddressOf prefers the agreed address, then what Find knows, then the address that the member gave: a member with an
// empty disk knows no membership when the leader's first message arrives.
func (a *Agreer[C, O]) MemberAddress(id replicator.MemberID, membership replicator.Membership) (netip.AddrPort, bool) {
	if address, ok := membership.Addresses[id]; ok {
		return address, true
	}
	if a.config.ResolveAddress != nil {
		if address, ok := a.config.ResolveAddress(id); ok {
			return address, true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	address, ok := a.learned[id]
	return address, ok && address.IsValid()
}

func (a *Agreer[C, O]) learnAddress(id replicator.MemberID, address netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.learned[id]; known || len(a.learned) < learnedLimit {
		a.learned[id] = address
	}
}

// TransferLeadership makes a leading member hand over to the voter that is furthest in the log.
func (a *Agreer[C, O]) TransferLeadership(ctx context.Context) error {
	return a.input(ctx, input[C, O]{message: replicator.TransferLeadership{}})
}

// Change submits a membership change on the leader and waits until it is committed.
func (a *Agreer[C, O]) ChangeMembership(ctx context.Context, build func(ref uint64) replicator.Message) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := a.submit(ctx, &submission[C, O]{change: build, done: make(chan result[O], 1)})
	return err
}

// input hands something to Run; it fails when the context ends first.
func (a *Agreer[C, O]) input(ctx context.Context, in input[C, O]) error {
	select {
	case a.inputs <- in:
		return nil
	case <-ctx.Done():
		return wrapError("hand over input", KindStopped, ctx.Err())
	}
}
