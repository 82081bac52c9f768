package recorder

import "time"

const (
	hintInvalidKey     = "the key must be 1 to 255 printable ASCII characters without spaces"
	hintFutureKey      = "the key is dated ahead of the availability zone's clock; check the clock of the caller"
	hintRecordLimit    = "the record group holds its limit of records; retry later"
	hintOpaqueKeyLimit = "the record group remembers its limit of keys without time; use the keys of a session or UUIDv7 keys"
	hintSessionLimit   = "the record group holds its limit of open sessions; use UUIDv7 keys or retry later"
	limitRetryDelay    = time.Minute
)

// admit decides on a key without a record. The outcome is granted, refused (the key was not executed, and the hint says
// what to change), or one of the outcomes after which the key is never executed.
func (r *Recorder) admit(now time.Time, organisation, key string) Reply {
	if !validKey(key) {
		return Reply{Outcome: OutcomeRefused, Hint: hintInvalidKey}
	}
	parsed := parseKey(key)
	reply := Reply{Outcome: OutcomeGranted}
	switch parsed.kind {
	case keySession:
		reply = r.admitSessionKey(now, organisation, parsed)
	case keyTimed:
		reply = r.admitTimedKey(now, parsed.timestamp)
	case keyOpaque:
		reply = r.admitOpaqueKey(organisation, key)
	}
	if reply.Outcome == OutcomeGranted && r.atCapacity() {
		return Reply{Outcome: OutcomeRefused, Hint: hintRecordLimit, Retry: limitRetryDelay}
	}
	return reply
}

func (r *Recorder) atCapacity() bool {
	return r.table.records >= r.config.MaxRecords || r.table.responseBytes >= r.config.MaxResponseBytes
}

func (r *Recorder) admitSessionKey(now time.Time, organisation string, key parsedKey) Reply {
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
	if highest := r.table.highestNumber[id]; highest >= sessionWindow && key.number <= highest-sessionWindow {
		return Reply{Outcome: OutcomeExpired}
	}
	return Reply{Outcome: OutcomeGranted}
}

func (r *Recorder) admitTimedKey(now time.Time, timestamp time.Time) Reply {
	switch {
	case r.beforeEpoch(timestamp):
		return Reply{Outcome: OutcomeUnknown}
	case !timestamp.After(r.table.watermark):
		return Reply{Outcome: OutcomeExpired}
	case timestamp.After(now.Add(maxClockSkew)):
		return Reply{Outcome: OutcomeRefused, Hint: hintFutureKey, Retry: timestamp.Sub(now) - maxClockSkew}
	}
	return Reply{Outcome: OutcomeGranted}
}

// beforeEpoch reports whether a key with the timestamp may have been executed in an earlier epoch. The clock skew
// counts twice: between the key's timestamp and the clock of the member that accepted it, and between that clock and
// the epoch's start.
func (r *Recorder) beforeEpoch(timestamp time.Time) bool {
	start := r.meta.View.EpochStart
	return !start.IsZero() && !timestamp.After(start.Add(2*maxClockSkew))
}

func (r *Recorder) admitOpaqueKey(organisation, key string) Reply {
	if _, used := r.table.entries[digestID(organisation, key)]; used {
		return Reply{Outcome: OutcomeExpired}
	}
	if !r.meta.View.EpochStart.IsZero() {
		return Reply{Outcome: OutcomeUnknown, Hint: hintOpaqueKeyLimit}
	}
	if r.table.opaqueKeys >= r.config.MaxOpaqueKeys {
		return Reply{Outcome: OutcomeRefused, Hint: hintOpaqueKeyLimit}
	}
	return Reply{Outcome: OutcomeGranted}
}
