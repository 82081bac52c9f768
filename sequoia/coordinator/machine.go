package coordinator

import (
	"sync"

	"sequoiaspread.example/sequoia/registrar"
)

// machine lets the agreement apply commands to a registrar that others read.
type machine struct {
	mu    sync.RWMutex
	state *registrar.Registrar
	// settled is the state after the last whole batch; only it is shown.
	settled registrar.State
	changed func(state registrar.State)
}

func newMachine(changed func(state registrar.State)) *machine {
	return &machine{state: registrar.New(), changed: changed}
}

// Encode returns the log data of a command.
func (m *machine) Encode(command registrar.Command) ([]byte, error) {
	return registrar.Encode(command)
}

// Apply applies one command.
func (m *machine) Apply(data []byte) (registrar.Outcome, error) {
	command, err := registrar.Decode(data)
	if err != nil {
		return registrar.Outcome{}, err
	}
	return m.state.Apply(command), nil
}

// Settle shows the state to readers.
func (m *machine) BatchApplied() error {
	state := m.state.State()
	m.mu.Lock()
	fresh := state.Revision > m.settled.Revision
	m.settled = state
	m.mu.Unlock()
	if fresh {
		m.changed(state)
	}
	return nil
}

// Snapshot returns the state for other members.
func (m *machine) Snapshot() ([]byte, error) {
	return m.state.Snapshot()
}

// Restore replaces the state and shows it.
func (m *machine) Restore(data []byte) error {
	if err := m.state.Restore(data); err != nil {
		return err
	}
	return m.BatchApplied()
}

// RoleChanged does nothing: the registrar keeps no time.
func (m *machine) RoleChanged() {}

func (m *machine) inForce() registrar.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settled
}
