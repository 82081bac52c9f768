package registrar

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// recentLimit bounds the ids of commands that are remembered; a command is repeated for seconds only.
const recentLimit = 512

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindInvalidCommand  Kind = "invalid-command"
	KindInvalidSnapshot Kind = "invalid-snapshot"
)

// Error is the error of this package: the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Command is one agreed change or read; exactly one of Put, Evacuate and Read is set.
type Command struct {
	// ID makes a command that is proposed twice take effect once.
	ID       string    `json:"id"`
	Put      *Put      `json:"put,omitempty"`
	Evacuate *Evacuate `json:"evacuate,omitempty"`
	// Read changes nothing; its outcome is the newest state.
	Read bool `json:"read,omitempty"`
}

// Put offers a document; it takes effect when its version is the highest so far.
type Put struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Evacuate starts or ends the evacuation of an availability zone.
type Evacuate struct {
	Zone   string `json:"zone"`
	Active bool   `json:"active"`
}

// State is what is in force. Revision grows with each change; Version is 0 before the first document.
type State struct {
	Revision  uint64   `json:"revision"`
	Version   uint64   `json:"version"`
	Text      []byte   `json:"text,omitempty"`
	Evacuated []string `json:"evacuated,omitempty"`
}

// Outcome is the reply to a command: the revision after it, and for a read the state.
type Outcome struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	State    *State `json:"state,omitempty"`
}

// Registrar applies commands in the agreed order.
type Registrar struct {
	saved saved
}

type saved struct {
	State  State    `json:"state"`
	Recent []string `json:"recent,omitempty"`
}

// New returns a registrar without a document.
func New() *Registrar {
	return &Registrar{}
}

// State returns what is in force; the caller must not change it.
func (r *Registrar) State() State {
	return r.saved.State
}

// Apply applies one command.
func (r *Registrar) Apply(command Command) Outcome {
	if command.Read {
		state := r.saved.State
		return Outcome{Revision: state.Revision, Version: state.Version, State: &state}
	}
	if !slices.Contains(r.saved.Recent, command.ID) {
		r.remember(command.ID)
		r.change(command)
	}
	return Outcome{Revision: r.saved.State.Revision, Version: r.saved.State.Version}
}

func (r *Registrar) change(command Command) {
	if command.Put != nil {
		r.put(*command.Put)
	}
	if command.Evacuate != nil {
		r.evacuate(*command.Evacuate)
	}
}

// put keeps the first content of a version: a later one with the same number changes nothing.
func (r *Registrar) put(put Put) {
	if put.Version <= r.saved.State.Version {
		return
	}
	r.saved.State.Version = put.Version
	r.saved.State.Text = put.Text
	r.saved.State.Revision++
}

func (r *Registrar) evacuate(order Evacuate) {
	zones := r.saved.State.Evacuated
	if slices.Contains(zones, order.Zone) == order.Active {
		return
	}
	next := slices.DeleteFunc(slices.Clone(zones), func(zone string) bool { return zone == order.Zone })
	if order.Active {
		next = append(next, order.Zone)
	}
	slices.Sort(next)
	r.saved.State.Evacuated = next
	r.saved.State.Revision++
}

func (r *Registrar) remember(id string) {
	r.saved.Recent = append(r.saved.Recent, id)
	if len(r.saved.Recent) > recentLimit {
		r.saved.Recent = slices.Clone(r.saved.Recent[1:])
	}
}

// Snapshot returns the state for other replicas.
func (r *Registrar) Snapshot() ([]byte, error) {
	return json.Marshal(r.saved)
}

// Restore replaces the state by that of a snapshot.
func (r *Registrar) Restore(data []byte) error {
	var next saved
	if err := json.Unmarshal(data, &next); err != nil {
		return &Error{Op: "restore", Kind: KindInvalidSnapshot, cause: eris.Wrap(err, "decode")}
	}
	r.saved = next
	return nil
}

// Encode returns the log data of a command.
func Encode(command Command) ([]byte, error) {
	return json.Marshal(command)
}

// Decode reads log data; a command must ask for exactly one thing.
func Decode(data []byte) (Command, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Command{}, &Error{Op: "decode command", Kind: KindInvalidCommand, cause: eris.Wrap(err, "decode")}
	}
	asked := 0
	for _, set := range []bool{command.Put != nil, command.Evacuate != nil, command.Read} {
		if set {
			asked++
		}
	}
	if asked != 1 {
		return Command{}, &Error{Op: "decode command", Kind: KindInvalidCommand, cause: eris.New("a command needs exactly one action")}
	}
	return command, nil
}
