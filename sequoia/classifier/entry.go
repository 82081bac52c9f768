package classifier

import "net/http"

// Outcome is whether a failed request has run.
type Outcome string

// Outcomes of a failed request.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// statusCallerCancelled appears only in logs, because the caller has closed its connection.
const statusCallerCancelled = 499

// Entry is the table entry of a cause, with the content of its problem document.
type Entry struct {
	Cause      Cause
	Status     int
	Outcome    Outcome
	RetryAfter bool
	// AlwaysRefused is set if every attempt of the request is refused, so that no earlier attempt can have run.
	AlwaysRefused bool
	Title         string
}

// KeyStatus is the status of the idempotency key of a request: whether its idempotency record has been consulted.
type KeyStatus string

// Statuses of an idempotency key.
const (
	// KeyStatusUnkeyed is a request without an idempotency key and record; resending it makes a new request.
	KeyStatusUnkeyed KeyStatus = "unkeyed"
	// KeyStatusUnchecked is a keyed request whose record has not been consulted, so that an earlier attempt may have run.
	KeyStatusUnchecked KeyStatus = "not-consulted"
	// KeyStatusGranted is a keyed request whose record shows that no earlier attempt has run.
	KeyStatusGranted KeyStatus = "granted"
)

// OutcomeFor returns the outcome for a request with the given key status. A keyed request that is refused before its
// record is consulted has an unknown outcome, because an earlier attempt with the same key may have run.
func (e Entry) OutcomeFor(status KeyStatus) Outcome {
	if status == KeyStatusUnchecked && e.Outcome == OutcomeNotRun && !e.AlwaysRefused {
		return OutcomeUnknown
	}
	return e.Outcome
}

// Lookup returns the entry of a cause. A cause without an entry is an internal error with an unknown outcome.
func Lookup(cause Cause) Entry {
	for _, entry := range table {
		if entry.Cause == cause {
			return entry
		}
	}
	return Entry{Cause: CauseInternal, Status: http.StatusInternalServerError, Outcome: OutcomeUnknown, Title: "internal error"}
}

// Table returns a copy of all entries.
func Table() []Entry {
	return append([]Entry(nil), table...)
}
