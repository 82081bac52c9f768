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

// keyEnforced holds the document in force beside the member id.
var keyEnforced = []byte("enforced")

// machine applies the agreed commands to a node.
type machine struct {
	node *node
	disk *agreer.Disk
	// lastCommand is when this member, as the leader, stamped a command; it is zero at the start of a leadership.
	lastCommand time.Time
}

// Encode stamps a command and returns its log data.
func (m *machine) Encode(command promoter.Command) ([]byte, error) {
	if command.StartEpoch != nil && !m.allRetired(command.StartEpoch.Lost) {
		return nil, newError("propose", kindRefused, "a member named as lost still belongs to the agreement")
	}
	command.Elapsed = m.sinceLastCommand()
	return promoter.Encode(command)
}

// Apply applies one command.
func (m *machine) Apply(data []byte) (promoter.Outcome, error) {
	command, err := promoter.Decode(data)
	if err != nil {
		return promoter.Outcome{}, err
	}
	return m.node.apply(command), nil
}

// Settle puts the agreed document in force, durably before it is served.
func (m *machine) BatchApplied() error {
	text, version := m.node.agreedDocument()
	if version <= m.node.enforcedVersion() {
		return nil
	}
	document := enforcer.Document{Version: version, Text: text}
	if err := m.saveEnforced(document); err != nil {
		return err
	}
	return m.node.enforce(document)
}

// Snapshot returns the agreed state.
func (m *machine) Snapshot() ([]byte, error) {
	return m.node.snapshot()
}

// Restore replaces the agreed state.
func (m *machine) Restore(data []byte) error {
	return m.node.restore(data)
}

// RoleChanged starts the count between commands anew.
func (m *machine) RoleChanged() {
	m.lastCommand = time.Time{}
}

// saveEnforced makes a document durable before any process learns that it is in force here.
func (m *machine) saveEnforced(document enforcer.Document) error {
	value, err := json.Marshal(document)
	if err != nil {
		return wrapError("encode document", kindDisk, err)
	}
	return m.disk.Write("save document", []storer.Op{agreer.MemberValueOp(keyEnforced, value)})
}

// enforced returns the highest document that this controller had in force.
func (m *machine) enforced() (enforcer.Document, error) {
	var document enforcer.Document
	err := m.disk.ReadMemberValue(keyEnforced, &document)
	return document, err
}

// allRetired reports whether the agreement replaced or removed all members; a retired id never comes back.
func (m *machine) allRetired(members []string) bool {
	membership := m.node.agreement.Status().Membership
	return !slices.ContainsFunc(members, func(id string) bool { return !membership.IsRetired(replicator.MemberID(id)) })
}

// sinceLastCommand measures by the monotonic clock, so that a step of the wall clock cannot expire outcomes.
func (m *machine) sinceLastCommand() time.Duration {
	now := time.Now()
	elapsed := time.Duration(0)
	if !m.lastCommand.IsZero() {
		elapsed = max(0, now.Sub(m.lastCommand))
	}
	m.lastCommand = now
	return elapsed
}
