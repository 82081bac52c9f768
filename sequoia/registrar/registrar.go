package registrar

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxRecentIDs bounds the command ids kept for deduplication; a command is retried for a few seconds only.
const maxRecentIDs = 512

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

// Command is one replicated change or read; exactly one of Put, Evacuate and Read is set.
type Command struct {
	// ID makes the command idempotent: when it is proposed twice it takes effect once.
	ID       string    `json:"id"`
	Put      *Put      `json:"put,omitempty"`
	Evacuate *Evacuate `json:"evacuate,omitempty"`
	// Read changes nothing; its outcome holds the latest state.
	Read bool `json:"read,omitempty"`
}

// Put submits a document; it takes effect if its version is the highest so far. NewPut compresses Text.
type Put struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Evacuate starts or ends the evacuation of an availability zone.
type Evacuate struct {
	Zone   string `json:"zone"`
	Active bool   `json:"active"`
	// After is the number of evacuation commands of the zone that this one follows. If others were applied since, this one
	// changes nothing: it may be older than they are. It is nil in logs of earlier releases.
	After *uint64 `json:"after,omitempty"`
}

// State is the current state. Revision increases with each change; Version is 0 before the first document.
type State struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	// Text is the submitted text, mostly compressed; Document returns it as plain text.
	Text      []byte   `json:"text,omitempty"`
	Evacuated []string `json:"evacuated,omitempty"`
}

// Outcome is the reply to a command: the revision and version after it and, for a read, the state.
type Outcome struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	State    *State `json:"state,omitempty"`
	// Superseded is set for an evacuation command that changed nothing, because Evacuations is not the number that it
	// follows.
	Superseded bool `json:"superseded,omitempty"`
	// Evacuations is the number of evacuation commands of the zone of the command.
	Evacuations uint64 `json:"evacuations,omitempty"`
}

// Registrar applies commands in the order of the log.
type Registrar struct {
	replicated replicatedState
}

type replicatedState struct {
	State     State    `json:"state"`
	RecentIDs []string `json:"recent,omitempty"`
	// Evacuations counts the evacuation commands of each zone, also those that found it as they wanted it.
	Evacuations map[string]uint64 `json:"evacuations,omitempty"`
}

// New returns a registrar without a document.
func New() *Registrar {
	return &Registrar{}
}

// State returns the current state; the caller must not change it.
func (r *Registrar) State() State {
	return r.replicated.State
}

// Apply applies one command; a command whose id is already recorded changes nothing.
func (r *Registrar) Apply(command Command) Outcome {
	if command.Read {
		state := r.replicated.State
		return Outcome{Revision: state.Revision, Version: state.Version, State: &state}
	}
	superseded := false
	if !slices.Contains(r.replicated.RecentIDs, command.ID) {
		superseded = r.isSuperseded(command)
		if !superseded {
			r.recordID(command.ID)
			r.applyChange(command)
		}
	}
	outcome := Outcome{Revision: r.replicated.State.Revision, Version: r.replicated.State.Version, Superseded: superseded}
	if command.Evacuate != nil {
		outcome.Evacuations = r.replicated.Evacuations[command.Evacuate.Zone]
	}
	return outcome
}

// isSuperseded reports whether a command follows an older state of its zone.
func (r *Registrar) isSuperseded(command Command) bool {
	evacuate := command.Evacuate
	return evacuate != nil && evacuate.After != nil && *evacuate.After != r.replicated.Evacuations[evacuate.Zone]
}

// Evacuations returns the number of evacuation commands of each zone; the caller must not change it.
func (r *Registrar) Evacuations() map[string]uint64 {
	return r.replicated.Evacuations
}

// Contained returns the outcome of a command that would change nothing: a document whose version is not higher.
func (r *Registrar) Contained(command Command) (Outcome, bool) {
	state := r.replicated.State
	if command.Put == nil || command.Put.Version > state.Version {
		return Outcome{}, false
	}
	return Outcome{Revision: state.Revision, Version: state.Version}, true
}

// Key is equal for the documents of one version, of which the first one takes effect; it is empty for other commands.
func (c Command) Key() string {
	if c.Put == nil {
		return ""
	}
	return strconv.FormatUint(c.Put.Version, 10)
}

func (r *Registrar) applyChange(command Command) {
	if command.Put != nil {
		r.put(*command.Put)
	}
	if command.Evacuate != nil {
		r.evacuate(*command.Evacuate)
	}
}

// put keeps the first document of a version; a later one with the same version changes nothing.
func (r *Registrar) put(put Put) {
	if put.Version <= r.replicated.State.Version {
		return
	}
	r.replicated.State.Version = put.Version
	r.replicated.State.Text = put.Text
	r.replicated.State.Revision++
}

func (r *Registrar) evacuate(evacuate Evacuate) {
	r.replicated.Evacuations = maps.Clone(r.replicated.Evacuations)
	if r.replicated.Evacuations == nil {
		r.replicated.Evacuations = map[string]uint64{}
	}
	r.replicated.Evacuations[evacuate.Zone]++
	zones := r.replicated.State.Evacuated
	if slices.Contains(zones, evacuate.Zone) == evacuate.Active {
		return
	}
	next := slices.DeleteFunc(slices.Clone(zones), func(zone string) bool { return zone == evacuate.Zone })
	if evacuate.Active {
		next = append(next, evacuate.Zone)
	}
	slices.Sort(next)
	r.replicated.State.Evacuated = next
	r.replicated.State.Revision++
}

func (r *Registrar) recordID(id string) {
	r.replicated.RecentIDs = append(r.replicated.RecentIDs, id)
	if len(r.replicated.RecentIDs) > maxRecentIDs {
		r.replicated.RecentIDs = slices.Clone(r.replicated.RecentIDs[1:])
	}
}

// Snapshot returns the encoded state, for restarts and for other replicas.
func (r *Registrar) Snapshot() ([]byte, error) {
	return json.Marshal(r.replicated)
}

// Restore replaces the state by that of a snapshot.
func (r *Registrar) Restore(data []byte) error {
	var next replicatedState
	if err := json.Unmarshal(data, &next); err != nil {
		return &Error{Op: "restore", Kind: KindInvalidSnapshot, cause: eris.Wrap(err, "decode")}
	}
	r.replicated = next
	return nil
}

// Encode returns the log data of a command.
func Encode(command Command) ([]byte, error) {
	return json.Marshal(command)
}

// Decode decodes the log data of a command and requires exactly one action.
func Decode(data []byte) (Command, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Command{}, &Error{Op: "decode command", Kind: KindInvalidCommand, cause: eris.Wrap(err, "decode")}
	}
	actions := 0
	for _, set := range []bool{command.Put != nil, command.Evacuate != nil, command.Read} {
		if set {
			actions++
		}
	}
	if actions != 1 {
		return Command{}, &Error{Op: "decode command", Kind: KindInvalidCommand, cause: eris.New("a command needs exactly one action")}
	}
	return command, nil
}
