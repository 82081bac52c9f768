package replicator

// Effect is an action that the owner of a Replicator must perform. Effects are performed in order, and each Save must
// be durable before any effect after it. When a Save fails, the effects after it are dropped and the member must stop.
type Effect interface{ isEffect() }

// HardState is the durable state of a member besides its log and snapshot.
type HardState struct {
	Term uint64   `json:"term"`
	Vote MemberID `json:"vote,omitempty"`
	// Commit is a lower bound of the commit index.
	Commit uint64 `json:"commit"`
}

// Save makes state durable: entries at or above TruncateFrom are dropped (0 means none), then Entries are appended,
// then the snapshot replaces the entries below FirstIndex.
type Save struct {
	State        HardState
	TruncateFrom uint64
	Entries      []Entry
	Snapshot     *Snapshot
	FirstIndex   uint64
}

// Send sends a message to a member; the transport may lose, delay, repeat or reorder it.
type Send struct {
	Message PeerMessage
}

// Apply passes committed entries to the state machine in order, each exactly once.
type Apply struct {
	Entries []Entry
}

// Restore replaces the state of the state machine by that of a snapshot.
type Restore struct {
	Snapshot Snapshot
}

// TakeSnapshot requests the state of the state machine as of the Apply effects before it, for SnapshotTaken.
type TakeSnapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Proposed reports the log position of a proposal or a membership change; a later leader may still overwrite it.
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

// Halt reports a state that only corruption can cause; the member must stop.
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
