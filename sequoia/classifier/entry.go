package classifier

import "net/http"

// Outcome is what a caller may conclude about a request that failed.
type Outcome string

// Outcomes of a failed request.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// statusCallerGone is written to logs only: the caller has closed its connection.
const statusCallerGone = 499

// Entry is one row of the table: a cause and all that a problem document says about it.
type Entry struct {
	Cause      Cause
	Status     int
	Outcome    Outcome
	RetryAfter bool
	// Never is set for requests that are refused whenever they are sent, so no earlier attempt can have run.
	AlwaysRefused bool
	Title         string
}

// Standing says whether the booking record of a request has been consulted.
type KeyStatus string

// Standings of a request.
const (
	// StandingUnkeyed is a request without a booking record; a resend of it is a new request.
	KeyStatusUnkeyed KeyStatus = "unkeyed"
	// StandingNotConsulted is a keyed request of which an earlier attempt may have run.
	KeyStatusUnchecked KeyStatus = "not-consulted"
	// StandingGranted is a keyed request whose record shows that no earlier attempt ran.
	KeyStatusGranted KeyStatus = "granted"
)

// OutcomeFor returns the outcome for a request of the given standing. A keyed request that is refused before its
// record is consulted has an unknown outcome, because an earlier attempt with the same key may have run.
func (e Entry) OutcomeFor(standing KeyStatus) Outcome {
	if standing == KeyStatusUnchecked && e.Outcome == OutcomeNotRun && !e.AlwaysRefused {
		return OutcomeUnknown
	}
	return e.Outcome
}

// Lookup returns the row of a cause; a cause without a row is an internal error with an unknown outcome.
func Lookup(cause Cause) Entry {
	for _, entry := range table {
		if entry.Cause == cause {
			return entry
		}
	}
	return Entry{Cause: CauseInternal, Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, Title: "internal error"}
}

// Table returns a copy of all rows.
func Table() []Entry {
	return append([]Entry(nil), table...)
}
