package replicator

import "net/netip"

// Message is an input of Step: a message of a peer, or a local request.
type Message interface{ isMessage() }

// PeerMessage is a message between members.
type PeerMessage interface {
	Message
	MessageHeader() Header
}

// Header is the part that all messages between members have.
type Header struct {
	From MemberID `json:"from"`
	To   MemberID `json:"to"`
	Term uint64   `json:"term"`
}

// Head returns the header itself.
func (h Header) MessageHeader() Header { return h }

// EntryKind says what a log entry holds.
type EntryKind string

// Kinds of log entries.
const (
	EntryCommand    EntryKind = "command"
	EntryMembership EntryKind = "membership"
	EntryNoOp       EntryKind = "start"
)

// Entry is one record of the replicated log.
type Entry struct {
	Index      uint64      `json:"index"`
	Term       uint64      `json:"term"`
	Kind       EntryKind   `json:"kind"`
	Data       []byte      `json:"data,omitempty"`
	Membership *Membership `json:"membership,omitempty"`
}

// Snapshot is the agreed state up to an index, in place of the log up to there.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// VoteRequest asks for a vote; a Pre request asks only whether a vote would be given and changes nothing.
type VoteRequest struct {
	Header
	PreVote   bool   `json:"pre,omitempty"`
	Transfer  bool   `json:"transfer,omitempty"`
	LastIndex uint64 `json:"last-index"`
	LastTerm  uint64 `json:"last-term"`
}

// VoteReply answers a VoteRequest; a granted Pre reply carries the term asked for.
type VoteReply struct {
	Header
	PreVote bool `json:"pre,omitempty"`
	Granted bool `json:"granted,omitempty"`
}

// AppendRequest carries entries that follow PrevIndex; without entries it is a heartbeat.
type AppendRequest struct {
	Header
	PrevIndex uint64  `json:"prev-index,omitempty"`
	PrevTerm  uint64  `json:"prev-term,omitempty"`
	Entries   []Entry `json:"entries,omitempty"`
	Commit    uint64  `json:"commit,omitempty"`
	// ContactOnly marks a heartbeat to a member that waits for a snapshot: the log is not compared.
	HeartbeatOnly bool `json:"contact-only,omitempty"`
}

// AppendReply answers an AppendRequest or InstallSnapshot. Match is the last index that equals the leader's log; on
// a rejection, Match is the last index that may still be equal and Rejected the PrevIndex that was not.
type AppendReply struct {
	Header
	Reject        bool   `json:"reject,omitempty"`
	RejectedIndex uint64 `json:"rejected,omitempty"`
	MatchIndex    uint64 `json:"match"`
	HeartbeatOnly bool   `json:"contact-only,omitempty"`
}

// InstallSnapshot carries a snapshot to a member whose next entry is no longer in the log.
type InstallSnapshot struct {
	Header
	Snapshot Snapshot `json:"snapshot"`
}

// TransferNow tells a caught-up voter to start an election at once.
type TimeoutNow struct {
	Header
}

// Propose asks for a command to be appended; Ref comes back in Proposed or Refused.
type Propose struct {
	Ref  uint64
	Data []byte
}

// AddLearner adds a member that receives the log; older learners of the same VM are retired.
type AddLearner struct {
	Ref     uint64
	ID      MemberID
	Address netip.AddrPort
}

// ReplaceVoter puts a caught-up learner in the place of a voter that lost its disk.
type ReplaceVoter struct {
	Ref       uint64
	Lost      MemberID
	Successor MemberID
}

// PromoteLearner makes a caught-up learner a voter.
type PromoteLearner struct {
	Ref uint64
	ID  MemberID
}

// RemoveMember retires a voter or a learner; a leader must hand over first.
type RemoveMember struct {
	Ref uint64
	ID  MemberID
}

// SnapshotTaken reports the state for a TakeSnapshot effect.
type SnapshotTaken struct {
	Snapshot Snapshot
}

// TransferLeadership makes a leader hand over to the voter that is furthest in the log.
type TransferLeadership struct{}

func (VoteRequest) isMessage()        {}
func (VoteReply) isMessage()          {}
func (AppendRequest) isMessage()      {}
func (AppendReply) isMessage()        {}
func (InstallSnapshot) isMessage()    {}
func (TimeoutNow) isMessage()         {}
func (Propose) isMessage()            {}
func (AddLearner) isMessage()         {}
func (ReplaceVoter) isMessage()       {}
func (PromoteLearner) isMessage()     {}
func (RemoveMember) isMessage()       {}
func (SnapshotTaken) isMessage()      {}
func (TransferLeadership) isMessage() {}
