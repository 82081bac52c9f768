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
	// firstIndex and firstTerm are those of the snapshot that all initial members share.
	firstIndex = 1
	firstTerm  = 1
)

var errRetired = eris.New("this member was replaced by another")

type agreement = agreer.Agreer[registrar.Command, registrar.Outcome]

// member is one life of this process in the agreement; a member that was replaced is followed by a new one.
type member struct {
	id        replicator.MemberID
	agreement *agreement
	machine   *machine
	started   time.Time
	// confirmed is set once a leader was heard and all that this member had logged before is applied.
	confirmed atomic.Bool
	// logged is the state at the end of the log as of the start, and position says how far that is; a member that is no
	// voter has none.
	logged   registrar.State
	position *fleetserver.LogPosition
}

// unconfirmedAfter is the time without a leader after which a restarted member tells what it had applied: a part that
// is cut off then serves by that rather than not at all.
const unconfirmedAfter = 8 * time.Second

// inForce returns the state to be told to entry VMs. What a restarted member has applied may lack changes that were
// acknowledged and are only in the logs, so it tells nothing before a leader has confirmed them.
func (m *member) inForce(now time.Time) registrar.State {
	if !m.confirmed.Load() && now.Sub(m.started) < unconfirmedAfter {
		return registrar.State{}
	}
	return m.machine.inForce()
}

// confirm notes what the agreement knows.
func (m *member) confirm(status replicator.Status, logged uint64) {
	if status.Leader != "" && status.Applied >= logged {
		m.confirmed.Store(true)
	}
}

// newMember loads the member of the disk. An empty disk becomes an initial member at the first start of the whole
// system, and else a member with a new id that knows nothing.
func (c *Coordinator) newMember(disk *agreer.Disk, first bool) (*member, error) {
	id, err := disk.MemberID()
	if err != nil {
		return nil, err
	}
	if id == "" {
		if id, err = c.create(disk, first); err != nil {
			return nil, err
		}
	}
	saved, err := disk.Load()
	if err != nil {
		return nil, err
	}
	m := &member{id: id, machine: newMachine(c.stateChanged), started: time.Now()}
	if err := m.readLog(saved); err != nil {
		return nil, err
	}
	m.agreement, err = agreer.New(agreer.Config[registrar.Command, registrar.Outcome]{
		ID: id, Address: c.config.Address, Disk: disk, DurableState: saved, StateMachine: m.machine, Pool: c.pool,
		Logger: c.logger.WithField("member", string(id)), HeartbeatInterval: c.config.Heartbeat, ElectionTimeout: c.config.ElectionTimeout,
	})
	return m, err
}

// readLog applies the whole log to a state of its own, the entries included that may not have been committed.
func (m *member) readLog(saved replicator.DurableState) error {
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
		m.logged = state.State()
		m.position = &position
	}
	return nil
}

func (c *Coordinator) create(disk *agreer.Disk, first bool) (replicator.MemberID, error) {
	seeds := c.seeds()
	if first && slices.Contains(seeds, c.config.Address) {
		saved, err := initial(seeds)
		if err != nil {
			return "", err
		}
		id := initialID(c.config.Address)
		c.logger.WithField("member", string(id)).Info("starting as an initial member")
		return id, disk.Create(id, saved)
	}
	fresh, err := uuid.NewRandom()
	if err != nil {
		return "", err
	}
	id := replicator.MemberID(c.config.Address.String() + "#" + fresh.String())
	c.logger.WithField("member", string(id)).Info("starting as a new member without state")
	return id, disk.Create(id, replicator.DurableState{})
}

// initial returns the state that every initial member starts from; all are told the same seeds.
func initial(seeds []netip.AddrPort) (replicator.DurableState, error) {
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
