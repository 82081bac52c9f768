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

// maxLearnedAddresses bounds the memory that message senders can occupy; at most 7 VMs are planned as controllers.
const maxLearnedAddresses = 64

// StateMachine is the replicated state machine; all calls come from the goroutine of Run.
type StateMachine[C, O any] interface {
	// Encode returns the log data of a command; the leader calls it right before it proposes the command.
	Encode(command C) ([]byte, error)
	// Apply applies the data of one committed entry; it must be deterministic.
	Apply(data []byte) (O, error)
	// BatchApplied runs after a batch of entries or a snapshot, before any of its outcomes is returned.
	BatchApplied() error
	// Snapshot returns the state as of the last Apply.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
	// RoleChanged reports a new role, term or leader of this member.
	RoleChanged()
}

// Config holds the settings and parts of an Agreer. ResolveAddress returns the addresses of members that the membership
// does not list; it may be nil.
type Config[C, O any] struct {
	ID             replicator.MemberID
	Address        netip.AddrPort
	Disk           *Disk
	DurableState   replicator.DurableState
	StateMachine   StateMachine[C, O]
	Pool           *messenger.Pool
	Logger         logrus.FieldLogger
	ResolveAddress func(id replicator.MemberID) (netip.AddrPort, bool)
	// Contained returns the outcome of a command whose effect the applied state already has; it may be nil.
	Contained func(command C) (O, bool)
	// Key is equal for commands that have the same effect while one of them is not applied yet, and empty for a command
	// of its own; it may be nil.
	Key func(command C) string
	// HeartbeatInterval and ElectionTimeout are those of the replicator; 0 selects its defaults.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
}

// Agreer is one member of the consensus group with its disk and its connections to the other members.
type Agreer[C, O any] struct {
	config      Config[C, O]
	replicator  *replicator.Replicator
	sender      *sender
	stopSending context.CancelFunc
	inputs      chan input[C, O]
	nextRef     uint64
	waiting     waiting[O]
	status      atomic.Pointer[replicator.Status]

	mu sync.Mutex
	// learnedAddresses holds the addresses that members sent with their messages.
	learnedAddresses map[replicator.MemberID]netip.AddrPort
}

// New returns a member that resumes from its durable state; the state machine is restored from the snapshot.
func New[C, O any](config Config[C, O]) (*Agreer[C, O], error) {
	member, err := replicator.New(replicator.Config{
		ID: config.ID, Random: newElectionRandom(config.ID, rand.Uint64()), HeartbeatInterval: config.HeartbeatInterval, ElectionTimeout: config.ElectionTimeout,
	}, config.DurableState)
	if err != nil {
		return nil, wrapError("load consensus state", KindConsensus, err)
	}
	if config.DurableState.Snapshot.Index > 0 {
		if err := config.StateMachine.Restore(config.DurableState.Snapshot.Data); err != nil {
			return nil, wrapError("restore snapshot", KindConsensus, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agreer[C, O]{
		config: config, replicator: member, stopSending: stop, inputs: make(chan input[C, O], inputQueueSize),
		sender:  newSender(ctx, config.Address, config.Pool, config.Logger),
		waiting: newWaiting[O](), learnedAddresses: map[replicator.MemberID]netip.AddrPort{},
	}
	a.status.Store(ptr(member.Status()))
	return a, nil
}

// newElectionRandom returns a source for election timeouts. It mixes the member id into the seed, so that the timeouts
// differ between members even when their processes start with the same randomness.
func newElectionRandom(id replicator.MemberID, seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(id))))
}

// Status returns the state of the member as of the last input.
func (a *Agreer[C, O]) Status() replicator.Status {
	return *a.status.Load()
}

// IsLeader reports whether this member leads.
func (a *Agreer[C, O]) IsLeader() bool {
	return a.status.Load().Role == replicator.RoleLeader
}

// QueueLength returns the number of inputs that are not handled yet.
func (a *Agreer[C, O]) QueueLength() int {
	return len(a.inputs)
}

// Close stops the senders of a member whose Run was never called.
func (a *Agreer[C, O]) Close() {
	a.stopSending()
	a.sender.wait()
}

// MemberAddress returns the address in the membership, else that of ResolveAddress, else the one that the member sent
// itself: a member with an empty disk has no membership yet when the leader's first message arrives.
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
	address, ok := a.learnedAddresses[id]
	return address, ok && address.IsValid()
}

func (a *Agreer[C, O]) learnAddress(id replicator.MemberID, address netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.learnedAddresses[id]; known || len(a.learnedAddresses) < maxLearnedAddresses {
		a.learnedAddresses[id] = address
	}
}

// TransferLeadership makes a leading member transfer its leadership to the voter with the highest match index.
func (a *Agreer[C, O]) TransferLeadership(ctx context.Context) error {
	return a.enqueue(ctx, input[C, O]{message: replicator.TransferLeadership{}})
}

// ChangeMembership submits a membership change on the leader and waits until it is committed.
func (a *Agreer[C, O]) ChangeMembership(ctx context.Context, build func(ref uint64) replicator.Message) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := a.submit(ctx, &submission[C, O]{change: build, done: make(chan result[O], 1)})
	return err
}

// enqueue queues an input for Run; it fails when the context ends first.
func (a *Agreer[C, O]) enqueue(ctx context.Context, in input[C, O]) error {
	select {
	case a.inputs <- in:
		return nil
	case <-ctx.Done():
		return wrapError("hand over input", KindStopped, ctx.Err())
	}
}
