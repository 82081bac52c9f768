package promoter

import (
	"encoding/json"
	"time"
)

// Command is one change proposed to the consensus group; exactly one of the pointers is set.
type Command struct {
	// RequestID identifies the request across resends; a resend gets the stored outcome. The outcome of a command with an
	// empty id is not stored.
	RequestID string `json:"request-id,omitempty"`
	// Issued is the wall-clock time of the proposer; it is shown to operators and affects no decision.
	Issued time.Time `json:"issued,omitzero"`
	// Elapsed is the time since the proposer's previous command by its monotonic clock; it expires stored outcomes.
	Elapsed time.Duration `json:"elapsed,omitempty"`

	Trial        *Trial        `json:"trial,omitempty"`
	Promote      *Promote      `json:"promote,omitempty"`
	AcquireLease *AcquireLease `json:"acquire-lease,omitempty"`
	RenewLease   *RenewLease   `json:"renew-lease,omitempty"`
	ChangeView   *ChangeView   `json:"change-view,omitempty"`
	StartEpoch   *StartEpoch   `json:"start-epoch,omitempty"`
}

// Trial records that the document with the given digest had a trial.
type Trial struct {
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
}

// Promote makes a document the given version, which must be the current version + 1.
type Promote struct {
	Version      uint64 `json:"version"`
	Text         []byte `json:"text"`
	Digest       string `json:"digest"`
	Operator     string `json:"operator"`
	WithoutTrial bool   `json:"without-trial,omitempty"`
}

// AcquireLease takes over the ordering lease after the sender has observed it unchanged for a lease duration.
// It is accepted only if the lease still has the fencing token and the renewal count that the sender observed.
type AcquireLease struct {
	Holder               string `json:"holder"`
	ExpectedFencingToken uint64 `json:"seen-fencing"`
	ExpectedRenewals     uint64 `json:"seen-renewals"`
}

// RenewLease extends the ordering lease; it is accepted only from the holder with the current fencing token.
type RenewLease struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencing"`
}

// ChangeView replaces the view of an availability zone's idempotency records. It is accepted only if Previous is the
// current view number (0 when the zone has none) and the new view shares a member with the current one.
type ChangeView struct {
	Zone     string   `json:"zone"`
	Previous uint64   `json:"previous"`
	Primary  string   `json:"primary"`
	Members  []string `json:"members"`
}

// StartEpoch starts a new epoch of an availability zone after all members of its view lost their disks. Lost must name
// every member of the current view; none of them can become a member again.
type StartEpoch struct {
	Zone          string   `json:"zone"`
	PreviousEpoch uint64   `json:"previous-epoch"`
	PreviousView  uint64   `json:"previous-view"`
	Lost          []string `json:"lost"`
	Primary       string   `json:"primary"`
	Members       []string `json:"members"`
}

// Encode returns the log data of a command.
func Encode(command Command) ([]byte, error) {
	if err := command.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(command)
	if err != nil {
		return nil, newError("encode command", KindInvalidCommand, err.Error())
	}
	return data, nil
}

// Decode decodes a command from its log data.
func Decode(data []byte) (Command, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Command{}, newError("decode command", KindInvalidCommand, err.Error())
	}
	if err := command.validate(); err != nil {
		return Command{}, err
	}
	return command, nil
}

// validate requires exactly one action and no negative elapsed time.
func (c Command) validate() error {
	actions := 0
	for _, set := range []bool{
		c.Trial != nil, c.Promote != nil, c.AcquireLease != nil,
		c.RenewLease != nil, c.ChangeView != nil, c.StartEpoch != nil,
	} {
		if set {
			actions++
		}
	}
	if actions != 1 {
		return newError("check command", KindInvalidCommand, "a command needs exactly one action")
	}
	if c.Elapsed < 0 {
		return newError("check command", KindInvalidCommand, "elapsed time is negative")
	}
	return nil
}
