package coordinator

import (
	"sync"

	"sequoiaspread.example/sequoia/registrar"
)

// stateMachine applies committed commands to a registrar and publishes the result to concurrent readers.
type stateMachine struct {
	mu        sync.RWMutex
	registrar *registrar.Registrar
	// visible is the state after the last complete batch, the only one that readers get.
	visible registrar.State
	// evacuations counts the evacuation commands of each zone up to that batch.
	evacuations map[string]uint64
	onChange    func(state registrar.State)
}

func newStateMachine(onChange func(state registrar.State)) *stateMachine {
	return &stateMachine{registrar: registrar.New(), onChange: onChange}
}

// Encode returns the log entry data of a command.
func (m *stateMachine) Encode(command registrar.Command) ([]byte, error) {
	return registrar.Encode(command)
}

// Apply applies one command.
func (m *stateMachine) Apply(data []byte) (registrar.Outcome, error) {
	command, err := registrar.Decode(data)
	if err != nil {
		return registrar.Outcome{}, err
	}
	return m.registrar.Apply(command), nil
}

// BatchApplied publishes the state to readers.
func (m *stateMachine) BatchApplied() error {
	state := m.registrar.State()
	m.mu.Lock()
	changed := state.Revision > m.visible.Revision
	m.visible, m.evacuations = state, m.registrar.Evacuations()
	m.mu.Unlock()
	if changed {
		m.onChange(state)
	}
	return nil
}

// Contained returns the outcome of a document that would change nothing, because the committed version is as high.
func (m *stateMachine) Contained(command registrar.Command) (registrar.Outcome, bool) {
	return m.registrar.Contained(command)
}

// Snapshot returns the encoded state for other members.
func (m *stateMachine) Snapshot() ([]byte, error) {
	return m.registrar.Snapshot()
}

// Restore replaces the state by a snapshot and publishes it.
func (m *stateMachine) Restore(data []byte) error {
	if err := m.registrar.Restore(data); err != nil {
		return err
	}
	return m.BatchApplied()
}

// RoleChanged does nothing: the registrar holds no timers.
func (m *stateMachine) RoleChanged() {}

// visibleEvacuations returns the number of evacuation commands of a zone.
func (m *stateMachine) visibleEvacuations(zone string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations[zone]
}

func (m *stateMachine) visibleState() registrar.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.visible
}
