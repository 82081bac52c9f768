package replicator

import "net/netip"

// Message is an input of Step: a message from a peer or a local request.
type Message interface{ isMessage() }

// PeerMessage is a message between members.
type PeerMessage interface {
	Message
	MessageHeader() Header
}

// Header holds the fields that all messages between members have.
type Header struct {
	From MemberID `json:"from"`
	To   MemberID `json:"to"`
	Term uint64   `json:"term"`
}

// MessageHeader returns the header itself.
func (h Header) MessageHeader() Header { return h }

// EntryKind is the type of a log entry.
type EntryKind string

// Kinds of log entries; EntryNoOp is the empty entry that a leader appends at the start of its term.
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

// Snapshot is the replicated state at an index; it replaces the log up to that index.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// VoteRequest asks for a vote. A PreVote request only asks whether a vote would be granted and changes no state;
// Transfer marks an election that the leader itself started by a TimeoutNow.
type VoteRequest struct {
	Header
	PreVote   bool   `json:"pre,omitempty"`
	Transfer  bool   `json:"transfer,omitempty"`
	LastIndex uint64 `json:"last-index"`
	LastTerm  uint64 `json:"last-term"`
}

// VoteReply answers a VoteRequest; a granted PreVote reply carries the term of the request.
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
	// HeartbeatOnly marks a heartbeat to a member that waits for a snapshot: the logs are not compared.
	HeartbeatOnly bool `json:"contact-only,omitempty"`
}

// AppendReply answers an AppendRequest or InstallSnapshot. MatchIndex is the last index at which the log matches the
// leader's; on a rejection it is the last index that may still match, and RejectedIndex is the PrevIndex that did not.
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

// TimeoutNow tells a caught-up voter to start an election at once.
type TimeoutNow struct {
	Header
}

// Propose requests that a command be appended; Ref is returned in Proposed or Refused.
type Propose struct {
	Ref  uint64
	Data []byte
}

// AddLearner adds a learner; other learners of the same VM are retired.
type AddLearner struct {
	Ref     uint64
	ID      MemberID
	Address netip.AddrPort
}

// ReplaceVoter replaces a voter that lost its disk by a caught-up learner.
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

// RemoveMember retires a voter or a learner; a leader must transfer its leadership first.
type RemoveMember struct {
	Ref uint64
	ID  MemberID
}

// SnapshotTaken returns the state that a TakeSnapshot effect requested.
type SnapshotTaken struct {
	Snapshot Snapshot
}

// TransferLeadership makes a leader transfer its leadership to the voter with the highest match index.
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
