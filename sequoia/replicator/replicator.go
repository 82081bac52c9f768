package replicator

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultHeartbeatInterval is a third of the election timeout. At 300 ms an idle leader sent 7.3 KB/s to five
	// members, which exceeds the budget of 5 KB/s of control traffic per node.
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultElectionTimeout   = 1500 * time.Millisecond
	defaultSnapshotThreshold = 256
	// defaultTrailingEntries stay in the log below a snapshot, so that a slightly lagging member needs no snapshot.
	defaultTrailingEntries = 64
	// maxBatchEntries bounds the entries of one AppendRequest.
	maxBatchEntries = 64
	// maxBatchBytes bounds the data of one AppendRequest when it has more than one entry.
	maxBatchBytes = 512 << 10
	// maxLearnerLag is the number of entries by which a learner may lag and still become a voter.
	maxLearnerLag = 8
)

// Config holds the settings of a Replicator; zero durations and counts select the defaults.
type Config struct {
	ID                MemberID
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotThreshold is the number of applied entries between snapshots.
	SnapshotThreshold uint64
	// TrailingEntries is the number of entries kept below a snapshot.
	TrailingEntries uint64
	Random          *rand.Rand
}

// DurableState is the stored state that a member starts from; a new learner starts from the zero value.
type DurableState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Role is the role of a member in its term.
type Role string

// Roles of members.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Replicator is one member of the consensus group.
type Replicator struct {
	config Config
	log    *entryLog

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID

	commit  uint64
	applied uint64
	// appliedMembership is the membership as of applied, for snapshots.
	appliedMembership      Membership
	membership             Membership
	membershipIndex        uint64
	snapshotRequestedIndex uint64

	// elapsed is the sum of the time steps since the start; it is monotonic even when the clock is set back.
	elapsed          time.Duration
	lastInputAt      time.Time
	electionDeadline time.Duration
	// lastLeaderContact is the elapsed time at the last message from the leader of this term.
	lastLeaderContact time.Duration
	votes             map[MemberID]bool
	leaderState       *leaderState

	effects []Effect
	halted  bool
}

// New returns a member that resumes from its durable state; the error has kind corrupt-state.
func New(config Config, saved DurableState) (*Replicator, error) {
	setDefaults(&config)
	log, err := newEntryLog(saved.Snapshot, saved.Entries)
	if err != nil {
		return nil, err
	}
	r := &Replicator{config: config, log: log, term: saved.State.Term, vote: saved.State.Vote, role: RoleFollower}
	r.commit = max(saved.Snapshot.Index, min(saved.State.Commit, log.lastIndex()))
	r.applied = saved.Snapshot.Index
	r.snapshotRequestedIndex = saved.Snapshot.Index
	r.appliedMembership = saved.Snapshot.Membership.clone()
	r.membership, r.membershipIndex = log.membership()
	r.resetElectionTimer()
	return r, nil
}

func setDefaults(config *Config) {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	if config.ElectionTimeout == 0 {
		config.ElectionTimeout = defaultElectionTimeout
	}
	if config.SnapshotThreshold == 0 {
		config.SnapshotThreshold = defaultSnapshotThreshold
	}
	if config.TrailingEntries == 0 {
		config.TrailingEntries = defaultTrailingEntries
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, 1))
	}
}

// Step handles one message and returns the effects to perform, in order.
func (r *Replicator) Step(now time.Time, message Message) []Effect {
	if r.halted {
		return nil
	}
	r.advanceClock(now)
	if peer, ok := message.(PeerMessage); ok {
		r.handlePeerMessage(peer)
	} else {
		r.handleLocalMessage(message)
	}
	return r.takeEffects()
}

// Tick advances the time and returns the effects to perform, in order.
func (r *Replicator) Tick(now time.Time) []Effect {
	if r.halted {
		return nil
	}
	r.advanceClock(now)
	r.applyCommitted()
	if r.role == RoleLeader {
		r.tickLeader()
	} else if r.elapsed >= r.electionDeadline {
		r.startPreVote()
	}
	return r.takeEffects()
}

// advanceClock adds the time since the last input to elapsed; a clock that was set back adds nothing.
func (r *Replicator) advanceClock(now time.Time) {
	if !r.lastInputAt.IsZero() {
		r.elapsed += max(0, now.Sub(r.lastInputAt))
	}
	r.lastInputAt = now
}

func (r *Replicator) takeEffects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Replicator) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

func (r *Replicator) send(message PeerMessage) {
	r.emit(Send{Message: message})
}

func (r *Replicator) newHeader(to MemberID) Header {
	return Header{From: r.config.ID, To: to, Term: r.term}
}

func (r *Replicator) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.commit}
}

func (r *Replicator) saveState() {
	r.emit(Save{State: r.hardState()})
}

func (r *Replicator) halt(kind Kind, cause string) {
	r.halted = true
	r.emit(Halt{Reason: newError("step", kind, cause)})
}

func (r *Replicator) resetElectionTimer() {
	jitter := time.Duration(r.config.Random.Int64N(int64(r.config.ElectionTimeout)))
	r.electionDeadline = r.elapsed + r.config.ElectionTimeout + jitter
}

// handlePeerMessage drops messages to other members or from retired ones, adopts a newer term, and dispatches the
// message to its handler.
func (r *Replicator) handlePeerMessage(message PeerMessage) {
	header := message.MessageHeader()
	if header.To != r.config.ID || header.From == r.config.ID || r.membership.IsRetired(header.From) {
		return
	}
	if header.Term > r.term && advancesTerm(message) {
		if request, ok := message.(VoteRequest); ok && r.hasLeaderContact() && !request.Transfer {
			return
		}
		r.becomeFollower(header.Term, "")
	}
	switch m := message.(type) {
	case VoteRequest:
		r.handleVoteRequest(m)
	case VoteReply:
		r.handleVoteReply(m)
	case AppendRequest:
		r.handleAppendRequest(m)
	case AppendReply:
		r.handleAppendReply(m)
	case InstallSnapshot:
		r.handleInstallSnapshot(m)
	case TimeoutNow:
		r.handleTimeoutNow(m)
	}
}

// advancesTerm is false for pre-votes, which concern a term that no member has entered yet.
func advancesTerm(message PeerMessage) bool {
	switch m := message.(type) {
	case VoteRequest:
		return !m.PreVote
	case VoteReply:
		return !m.PreVote || !m.Granted
	}
	return true
}

func (r *Replicator) handleLocalMessage(message Message) {
	switch m := message.(type) {
	case Propose:
		r.propose(m)
	case AddLearner:
		r.addLearner(m)
	case ReplaceVoter:
		r.replaceVoter(m)
	case PromoteLearner:
		r.promoteLearner(m)
	case RemoveMember:
		r.removeMember(m)
	case SnapshotTaken:
		r.handleSnapshotTaken(m.Snapshot)
	case TransferLeadership:
		r.startTransfer()
	}
}
