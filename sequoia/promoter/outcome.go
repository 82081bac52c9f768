package promoter

import "time"

// Result is the result of a command.
type Result string

// Results of commands.
const (
	ResultAccepted        Result = "accepted"
	ResultConflict        Result = "conflict"
	ResultNoTrial         Result = "no-trial"
	ResultRequestIDReused Result = "request-id-reused"
	ResultStale           Result = "stale"
	ResultForbidden       Result = "forbidden"
)

// Outcome is the reply to a command; only the fields that belong to the command are set.
type Outcome struct {
	Result Result `json:"result"`
	// Reason says why a command was not accepted.
	Reason string `json:"reason,omitempty"`
	// Version is the accepted version, or the current version when a promotion was refused.
	Version uint64 `json:"version,omitempty"`
	// Winner is the promotion that was accepted under the version number, in a conflict.
	Winner *Promotion `json:"winner,omitempty"`
	// Lease is the ordering lease after a lease command.
	Lease *Lease `json:"lease,omitempty"`
	// View is the view of the availability zone after a view or epoch command.
	View *View `json:"view,omitempty"`
}

// Accepted reports whether the command took effect.
func (o Outcome) Accepted() bool {
	return o.Result == ResultAccepted
}

// Promotion is one accepted document version, without its text.
type Promotion struct {
	Version   uint64    `json:"version"`
	Digest    string    `json:"digest"`
	Operator  string    `json:"operator"`
	RequestID string    `json:"request-id"`
	Issued    time.Time `json:"issued,omitzero"`
}

// Lease is the ordering lease; FencingToken is 0 when it was never granted.
type Lease struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencing"`
	Renewals     uint64 `json:"renewals"`
}

// View is the group of members that replicates the idempotency records of an availability zone.
type View struct {
	Zone       string    `json:"zone"`
	Epoch      uint64    `json:"epoch"`
	EpochStart time.Time `json:"epoch-start,omitzero"`
	Number     uint64    `json:"number"`
	Primary    string    `json:"primary"`
	Members    []string  `json:"members"`
}
