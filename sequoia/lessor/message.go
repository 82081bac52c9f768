package lessor

import "time"

const (
	// Scale is the whole leased part of a limit in units of a share.
	Scale = 1_000_000
	// LeaseTime is how long a grant lasts. A VM counts it from when it sent its report, which is before the leader made
	// the grant, so it has ended there by LeaseTime after that.
	LeaseTime = 3 * time.Second
	// ContactTime is the age up to which a leader's contact with a majority of the voters entitles it to grant.
	ContactTime = time.Second
	// StaleTime bounds how old a leader's view of its contact may be when it grants: the age of the status that it reads,
	// and the time that a reply of a voter was in flight, which counts from its arrival.
	StaleTime = 500 * time.Millisecond
	// ElectionWait is the time from the election of a leader to its first grant. An earlier leader that lost its majority
	// may grant for ContactTime and StaleTime more, and its last grant lasts LeaseTime. Beyond StaleTime grants of both
	// may be in force at once.
	ElectionWait = LeaseTime + ContactTime + StaleTime
	// MaxOrganisations limits the organisations of one report.
	MaxOrganisations = 64
	// LeasedPart is the part of a limit that is leased; the rest is divided equally among the VMs.
	LeasedPart = 7.0 / 8
)

// Report is the demand of one entry VM.
type Report struct {
	// Term and Sequence are those of the last grant that the VM applied. They confirm that earlier grants have ended.
	Term          uint64   `json:"term,omitempty"`
	Sequence      uint64   `json:"seq,omitempty"`
	Organisations []string `json:"names,omitempty"`
	// Demands are the units per second that were requested.
	Demands []int64 `json:"units,omitempty"`
	// Backlogs are the units of the requests that wait, in the same order; left out if none does.
	Backlogs []int64 `json:"waiting,omitempty"`
}

// Grant replaces all earlier grants to a VM.
type Grant struct {
	Term uint64 `json:"term"`
	// Sequence increases with each grant of a term. It is 0 if the leader may not grant yet, or had no report to reply to.
	Sequence uint64 `json:"seq,omitempty"`
	// Fleet is the number of live entry VMs; 0 if the leader may not know all of them yet.
	Fleet int `json:"fleet,omitempty"`
	// Shares are the shares of the reported organisations, in the order of the report.
	Shares []int64 `json:"shares,omitempty"`
	// Scarce are the positions in the report of the organisations that have had more demand than their limit for a while.
	Scarce []int `json:"scarce,omitempty"`
}
