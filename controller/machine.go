package main

import (
	"encoding/json"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

// keyEnforced is the key of the enforced document, which is stored next to the member id.
var keyEnforced = []byte("enforced")

// stateMachine applies committed commands to a node.
type stateMachine struct {
	node *node
	disk *agreer.Disk
	// lastCommandAt is when this member last stamped a command as the leader; each change of role resets it to zero.
	lastCommandAt time.Time
}

// Encode stamps a command with the time since the previous one and returns its log entry. It refuses a new epoch while
// a member named as lost still belongs to the consensus group.
func (m *stateMachine) Encode(command promoter.Command) ([]byte, error) {
	if command.StartEpoch != nil && !m.allRetired(command.StartEpoch.Lost) {
		return nil, newError("propose", kindRefused, "a member named as lost still belongs to the agreement")
	}
	command.Elapsed = m.sinceLastCommand()
	return promoter.Encode(command)
}

// Apply applies one committed command.
func (m *stateMachine) Apply(data []byte) (promoter.Outcome, error) {
	command, err := promoter.Decode(data)
	if err != nil {
		return promoter.Outcome{}, err
	}
	return m.node.apply(command), nil
}

// BatchApplied enforces the committed document, after storing it durably.
func (m *stateMachine) BatchApplied() error {
	text, version := m.node.committedDocument()
	if version <= m.node.enforcedVersion() {
		return nil
	}
	document := enforcer.Document{Version: version, Text: text}
	if err := m.saveEnforced(document); err != nil {
		return err
	}
	return m.node.enforce(document)
}

// Snapshot returns the encoded replicated state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	return m.node.snapshot()
}

// Restore replaces the replicated state with a snapshot.
func (m *stateMachine) Restore(data []byte) error {
	return m.node.restore(data)
}

// RoleChanged resets the time of the last command.
func (m *stateMachine) RoleChanged() {
	m.lastCommandAt = time.Time{}
}

// saveEnforced makes a document durable before any process learns that this controller enforces it.
func (m *stateMachine) saveEnforced(document enforcer.Document) error {
	value, err := json.Marshal(document)
	if err != nil {
		return wrapError("encode document", kindDisk, err)
	}
	return m.disk.Write("save document", []storer.Op{agreer.MemberValueOp(keyEnforced, value)})
}

// loadEnforced returns the stored document, the highest version that this controller has enforced.
func (m *stateMachine) loadEnforced() (enforcer.Document, error) {
	var document enforcer.Document
	err := m.disk.ReadMemberValue(keyEnforced, &document)
	return document, err
}

// allRetired reports whether the consensus group has replaced or removed all the given members; a retired id is never
// used again.
func (m *stateMachine) allRetired(members []string) bool {
	membership := m.node.consensus.Status().Membership
	return !slices.ContainsFunc(members, func(id string) bool { return !membership.IsRetired(replicator.MemberID(id)) })
}

// sinceLastCommand returns the time since the last command. It uses the monotonic clock, so that a step of the wall
// clock cannot expire outcomes.
func (m *stateMachine) sinceLastCommand() time.Duration {
	now := time.Now()
	elapsed := time.Duration(0)
	if !m.lastCommandAt.IsZero() {
		elapsed = max(0, now.Sub(m.lastCommandAt))
	}
	m.lastCommandAt = now
	return elapsed
}
