package replicator

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultHeartbeat is a third of the election timeout. With 300 ms an idle leader sent 7.3 KB/s to five members, and
	// control may take 5 KB/s per node.
	defaultHeartbeat       = 500 * time.Millisecond
	defaultElectionTimeout = 1500 * time.Millisecond
	defaultSnapshotEvery   = 256
	// defaultTrailing entries stay in the log below a snapshot, so that a member that is a little behind needs no snapshot.
	defaultTrailing = 64
	// maxBatch bounds the entries of one AppendRequest.
	maxBatch = 64
	// maxBatchBytes bounds the data of one AppendRequest when it has more than one entry.
	maxBatchBytes = 512 << 10
	// caughtUpWithin is the number of entries by which a learner may lag to be made a voter.
	caughtUpWithin = 8
)

// Config holds the settings of a Replicator; zero durations and counts select the defaults.
type Config struct {
	ID                MemberID
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEvery is the number of applied entries between snapshots.
	SnapshotThreshold uint64
	// Trailing is the number of entries kept below a snapshot.
	TrailingEntries uint64
	Random          *rand.Rand
}

// Saved is the durable state that a member starts from; a new learner starts from the zero value.
type DurableState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Role is the part that a member plays in its term.
type Role string

// Roles of members.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Replicator is one member of the agreement.
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
	appliedMembership Membership
	membership        Membership
	membershipIndex   uint64
	snapshotAsked     uint64

	// elapsed is the time counted by this member; it never goes back, whatever the clock does.
	elapsed  time.Duration
	lastNow  time.Time
	deadline time.Duration
	// leaderSeen is when the leader of this term was last heard.
	leaderSeen time.Duration
	votes      map[MemberID]bool
	lead       *leadership

	effects []Effect
	halted  bool
}

// New returns a member that continues from its durable state; the error has kind corrupt-state.
func New(config Config, saved DurableState) (*Replicator, error) {
	setDefaults(&config)
	log, err := newEntryLog(saved.Snapshot, saved.Entries)
	if err != nil {
		return nil, err
	}
	r := &Replicator{config: config, log: log, term: saved.State.Term, vote: saved.State.Vote, role: RoleFollower}
	r.commit = max(saved.Snapshot.Index, min(saved.State.Commit, log.last()))
	r.applied = saved.Snapshot.Index
	r.snapshotAsked = saved.Snapshot.Index
	r.appliedMembership = saved.Snapshot.Membership.clone()
	r.membership, r.membershipIndex = log.membership()
	r.resetDeadline()
	return r, nil
}

func setDefaults(config *Config) {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeat
	}
	if config.ElectionTimeout == 0 {
		config.ElectionTimeout = defaultElectionTimeout
	}
	if config.SnapshotThreshold == 0 {
		config.SnapshotThreshold = defaultSnapshotEvery
	}
	if config.TrailingEntries == 0 {
		config.TrailingEntries = defaultTrailing
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, 1))
	}
}

// Step takes in one message and returns what must be done, in order.
func (r *Replicator) Step(now time.Time, message Message) []Effect {
	if r.halted {
		return nil
	}
	r.advance(now)
	if peer, ok := message.(PeerMessage); ok {
		r.stepPeer(peer)
	} else {
		r.stepLocal(message)
	}
	return r.flush()
}

// Tick passes time and returns what must be done, in order.
func (r *Replicator) Tick(now time.Time) []Effect {
	if r.halted {
		return nil
	}
	r.advance(now)
	r.applyCommitted()
	if r.role == RoleLeader {
		r.tickLeader()
	} else if r.elapsed >= r.deadline {
		r.campaign()
	}
	return r.flush()
}

// advance counts the time since the last input; a clock that went back counts as no time.
func (r *Replicator) advance(now time.Time) {
	if !r.lastNow.IsZero() {
		r.elapsed += max(0, now.Sub(r.lastNow))
	}
	r.lastNow = now
}

func (r *Replicator) flush() []Effect {
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

func (r *Replicator) header(to MemberID) Header {
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

func (r *Replicator) resetDeadline() {
	spread := time.Duration(r.config.Random.Int64N(int64(r.config.ElectionTimeout)))
	r.deadline = r.elapsed + r.config.ElectionTimeout + spread
}

// stepPeer drops what is not for this member, settles the term, and passes the message on.
func (r *Replicator) stepPeer(message PeerMessage) {
	head := message.MessageHeader()
	if head.To != r.config.ID || head.From == r.config.ID || r.membership.IsRetired(head.From) {
		return
	}
	if head.Term > r.term && raisesTerm(message) {
		if request, ok := message.(VoteRequest); ok && r.hearsLeader() && !request.Transfer {
			return
		}
		r.follow(head.Term, "")
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
		r.handleTransferNow(m)
	}
}

// raisesTerm is false for pre-votes: they ask about a term that nobody has entered.
func raisesTerm(message PeerMessage) bool {
	switch m := message.(type) {
	case VoteRequest:
		return !m.PreVote
	case VoteReply:
		return !m.PreVote || !m.Granted
	}
	return true
}

func (r *Replicator) stepLocal(message Message) {
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
		r.snapshotTaken(m.Snapshot)
	case TransferLeadership:
		r.startTransfer()
	}
}
