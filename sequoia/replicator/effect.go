package replicator

// Effect is something that the owner of a Replicator must do. Effects are performed in order, and each Save is
// durable before any effect after it; when a Save fails, nothing after it may be done and the member must stop.
type Effect interface{ isEffect() }

// HardState is the durable part of a member besides its log and snapshot.
type HardState struct {
	Term uint64   `json:"term"`
	Vote MemberID `json:"vote,omitempty"`
	// Commit is a lower bound of the committed index.
	Commit uint64 `json:"commit"`
}

// Save makes state durable: entries at or above TruncateFrom are dropped (0 means none), then Entries added, then
// the snapshot replaces the entries below FirstIndex.
type Save struct {
	State        HardState
	TruncateFrom uint64
	Entries      []Entry
	Snapshot     *Snapshot
	FirstIndex   uint64
}

// Send sends a message to a member; it may be lost, delayed, repeated or reordered.
type Send struct {
	Message PeerMessage
}

// Apply hands over committed entries in order, each exactly once.
type Apply struct {
	Entries []Entry
}

// Restore replaces the agreed state by that of a snapshot.
type Restore struct {
	Snapshot Snapshot
}

// TakeSnapshot asks for the agreed state as of the Apply effects before it, to be returned in SnapshotTaken.
type TakeSnapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Proposed reports where a proposal or a membership change was appended; it may still be lost to another leader.
type Proposed struct {
	Ref   uint64
	Index uint64
	Term  uint64
}

// Refused reports that a proposal or a membership change was not appended.
type Refused struct {
	Ref    uint64
	Reason *Error
}

// RoleChanged reports a new role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader MemberID
}

// Halt reports a state that cannot arise without corruption; the member must stop.
type Halt struct {
	Reason *Error
}

func (Save) isEffect()         {}
func (Send) isEffect()         {}
func (Apply) isEffect()        {}
func (Restore) isEffect()      {}
func (TakeSnapshot) isEffect() {}
func (Proposed) isEffect()     {}
func (Refused) isEffect()      {}
func (RoleChanged) isEffect()  {}
func (Halt) isEffect()         {}
