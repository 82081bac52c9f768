package recorder

import "time"

const (
	hintKey      = "the key must be 1 to 255 printable ASCII characters without spaces"
	hintDate     = "the key is dated ahead of the availability zone's clock; check the clock of the caller"
	hintFull     = "the record group holds its limit of records; retry later"
	hintSession  = "the record group remembers its limit of keys without time; use the keys of a session or UUIDv7 keys"
	hintSessions = "the record group holds its limit of open sessions; use UUIDv7 keys or retry later"
	retryFull    = time.Minute
)

// admit decides on a key without a record: granted, refused because it has not run and cannot run as it is, or one of
// the outcomes under which it is never run.
func (r *Recorder) admit(now time.Time, organisation, key string) Reply {
	if !validKey(key) {
		return Reply{Outcome: OutcomeRefused, Hint: hintKey}
	}
	parsed := parseKey(key)
	verdict := Reply{Outcome: OutcomeGranted}
	switch parsed.kind {
	case keySession:
		verdict = r.admitNumber(now, organisation, parsed)
	case keyTimed:
		verdict = r.admitDate(now, parsed.dated)
	case keyOpaque:
		verdict = r.admitOpaque(organisation, key)
	}
	if verdict.Outcome == OutcomeGranted && r.full() {
		return Reply{Outcome: OutcomeRefused, Hint: hintFull, Retry: retryFull}
	}
	return verdict
}

func (r *Recorder) full() bool {
	return r.table.records >= r.config.MaxRecords || r.table.answers >= r.config.MaxResponseBytes
}

func (r *Recorder) admitNumber(now time.Time, organisation string, key parsedKey) Reply {
	view := r.meta.View
	if key.zone != view.Zone {
		return Reply{Outcome: OutcomeUnknown}
	}
	if key.epoch < view.Epoch {
		return Reply{Outcome: OutcomeUnknown}
	}
	id := sessionID(organisation, key.session)
	entry, ok := r.table.entries[id]
	if !ok || key.epoch != view.Epoch || now.After(entry.Session.Issued.Add(r.config.SessionLifetime)) {
		return Reply{Outcome: OutcomeExpired}
	}
	if highest := r.table.highest[id]; highest >= sessionWindow && key.number <= highest-sessionWindow {
		return Reply{Outcome: OutcomeExpired}
	}
	return Reply{Outcome: OutcomeGranted}
}

func (r *Recorder) admitDate(now time.Time, dated time.Time) Reply {
	switch {
	case r.beforeEpoch(dated):
		return Reply{Outcome: OutcomeUnknown}
	case !dated.After(r.table.floor):
		return Reply{Outcome: OutcomeExpired}
	case dated.After(now.Add(clockBound)):
		return Reply{Outcome: OutcomeRefused, Hint: hintDate, Retry: dated.Sub(now) - clockBound}
	}
	return Reply{Outcome: OutcomeGranted}
}

// beforeEpoch reports whether a key with the date may have run in an earlier epoch. The bound counts twice: once for
// the key against the clock of the member that accepted it, once for that clock against the epoch's start.
func (r *Recorder) beforeEpoch(dated time.Time) bool {
	start := r.meta.View.EpochStart
	return !start.IsZero() && !dated.After(start.Add(2*clockBound))
}

func (r *Recorder) admitOpaque(organisation, key string) Reply {
	if _, used := r.table.entries[digestID(organisation, key)]; used {
		return Reply{Outcome: OutcomeExpired}
	}
	if !r.meta.View.EpochStart.IsZero() {
		return Reply{Outcome: OutcomeUnknown, Hint: hintSession}
	}
	if r.table.permanent >= r.config.MaxOpaqueKeys {
		return Reply{Outcome: OutcomeRefused, Hint: hintSession}
	}
	return Reply{Outcome: OutcomeGranted}
}
