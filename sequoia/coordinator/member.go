package coordinator

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	// firstIndex and firstTerm are the index and term of the snapshot that all initial members share.
	firstIndex = 1
	firstTerm  = 1
)

var errReplaced = eris.New("this member was replaced by another")

type consensusNode = agreer.Agreer[registrar.Command, registrar.Outcome]

// member is one identity of this process in the consensus group. A member that was replaced is followed by one with a
// new id.
type member struct {
	id           replicator.MemberID
	consensus    *consensusNode
	stateMachine *stateMachine
	startedAt    time.Time
	// confirmed is set once a leader is known and every entry logged before the start has been applied.
	confirmed atomic.Bool
	// reportedUnconfirmed is set once a state was reported that no leader had confirmed.
	reportedUnconfirmed atomic.Bool
	// replayedState is the state at the end of the log at startup, and logPosition is the position of that end. Both
	// are set for voters only.
	replayedState registrar.State
	logPosition   *fleetserver.LogPosition
}

// unconfirmedStateDelay is the time without a leader after which a restarted member reports its last applied state. A
// partition without a leader then serves by that state instead of refusing all requests.
const unconfirmedStateDelay = 8 * time.Second

// appliedState returns the state to report to entry VMs. The applied state of a restarted member may lack acknowledged
// changes that are only in the logs, so nothing is reported until a leader has confirmed it.
func (m *member) appliedState(now time.Time) registrar.State {
	if !m.confirmed.Load() && now.Sub(m.startedAt) < unconfirmedStateDelay {
		return registrar.State{}
	}
	return m.stateMachine.visibleState()
}

// updateConfirmed sets confirmed if a leader is known and all entries up to lastIndex are applied.
func (m *member) updateConfirmed(status replicator.Status, lastIndex uint64) {
	if status.Leader != "" && status.Applied >= lastIndex {
		m.confirmed.Store(true)
	}
}

// newMember loads the member stored on disk. With an empty disk it creates an initial member at the first start of the
// whole system, and otherwise a member with a new id and no state.
func (c *Coordinator) newMember(disk *agreer.Disk, initialStart bool) (*member, error) {
	id, err := disk.MemberID()
	if err != nil {
		return nil, err
	}
	if id == "" {
		if id, err = c.createMember(disk, initialStart); err != nil {
			return nil, err
		}
	}
	saved, err := disk.Load()
	if err != nil {
		return nil, err
	}
	m := &member{id: id, stateMachine: newStateMachine(c.logStateChange), startedAt: time.Now()}
	if err := m.replayLog(saved); err != nil {
		return nil, err
	}
	m.consensus, err = agreer.New(agreer.Config[registrar.Command, registrar.Outcome]{
		ID: id, Address: c.config.Address, Disk: disk, DurableState: saved, StateMachine: m.stateMachine, Pool: c.pool,
		Contained: m.stateMachine.Contained, Key: registrar.Command.Key,
		Logger: c.logger.WithField("member", string(id)), HeartbeatInterval: c.config.HeartbeatInterval, ElectionTimeout: c.config.ElectionTimeout,
	})
	return m, err
}

// replayLog applies the whole log to a separate state, including entries that may not be committed.
func (m *member) replayLog(saved replicator.DurableState) error {
	state := registrar.New()
	if len(saved.Snapshot.Data) > 0 {
		if err := state.Restore(saved.Snapshot.Data); err != nil {
			return err
		}
	}
	membership := saved.Snapshot.Membership
	position := fleetserver.LogPosition{Term: saved.Snapshot.Term, Index: saved.Snapshot.Index}
	for _, entry := range saved.Entries {
		if entry.Index <= saved.Snapshot.Index {
			continue
		}
		position.Term, position.Index = entry.Term, entry.Index
		if entry.Membership != nil {
			membership = *entry.Membership
		}
		if entry.Kind != replicator.EntryCommand {
			continue
		}
		command, err := registrar.Decode(entry.Data)
		if err != nil {
			return err
		}
		state.Apply(command)
	}
	if membership.IsVoter(m.id) {
		position.Voters = len(membership.Voters)
		m.replayedState = state.State()
		m.logPosition = &position
	}
	return nil
}

func (c *Coordinator) createMember(disk *agreer.Disk, initialStart bool) (replicator.MemberID, error) {
	seeds := c.seeds()
	if initialStart && slices.Contains(seeds, c.config.Address) {
		saved, err := initialState(seeds)
		if err != nil {
			return "", err
		}
		id := initialID(c.config.Address)
		c.mu.Lock()
		c.pins.WatchedSince(time.Time{})
		c.mu.Unlock()
		c.logger.WithField("member", string(id)).Info("starting as an initial member")
		return id, disk.Create(id, saved)
	}
	suffix, err := uuid.NewRandom()
	if err != nil {
		return "", err
	}
	id := replicator.MemberID(c.config.Address.String() + "#" + suffix.String())
	c.logger.WithField("member", string(id)).Info("starting as a new member without state")
	return id, disk.Create(id, replicator.DurableState{})
}

// initialState returns the durable state that every initial member starts from. All of them are configured with the
// same seeds.
func initialState(seeds []netip.AddrPort) (replicator.DurableState, error) {
	data, err := registrar.New().Snapshot()
	if err != nil {
		return replicator.DurableState{}, err
	}
	membership := replicator.Membership{Addresses: map[replicator.MemberID]netip.AddrPort{}}
	for _, seed := range seeds {
		membership.Voters = append(membership.Voters, initialID(seed))
		membership.Addresses[initialID(seed)] = seed
	}
	slices.Sort(membership.Voters)
	return replicator.DurableState{
		State:    replicator.HardState{Term: firstTerm, Commit: firstIndex},
		Snapshot: replicator.Snapshot{Index: firstIndex, Term: firstTerm, Membership: membership, Data: data},
	}, nil
}

func initialID(address netip.AddrPort) replicator.MemberID {
	return replicator.MemberID(address.String() + "#1")
}
