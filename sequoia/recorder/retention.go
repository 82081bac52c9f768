package recorder

import (
	"slices"
	"time"
)

// advanceFloor raises the floor towards the end of the retention and drops what lies below it. The floor is durable
// and copied before a record is dropped, and only it decides what is too old: a clock that goes back cannot make a
// dropped key new again.
func (r *Recorder) advanceFloor(now time.Time) {
	wanted := now.Add(-r.config.Retention).Truncate(time.Second)
	if r.table.floor.IsZero() {
		r.setFloor(now, wanted)
		return
	}
	elapsed := now.Sub(r.lastFloor)
	if elapsed >= 0 && elapsed < floorInterval {
		return
	}
	r.lastFloor = now
	if !wanted.After(r.table.floor) {
		return
	}
	limit := r.table.floor.Add(floorStep)
	if wanted.After(limit) {
		wanted = limit
	}
	r.setFloor(now, wanted)
}

// setFloor writes the digests of the keys that it drops before the floor itself, so that every prefix of the entries
// that another member holds still knows those keys.
func (r *Recorder) setFloor(now time.Time, floor time.Time) {
	r.lastFloor = now
	for _, id := range r.opaqueBelow(floor) {
		record := r.table.entries[id].Record
		r.write(Entry{ID: digestID(record.Organisation, record.Key), UsedKey: &UsedKey{}})
	}
	r.write(Entry{ID: floorID, LowWatermark: &LowWatermark{Time: floor}})
	r.dropBelow(floor)
}

// retainedFrom returns the time from which the retention of a new entry counts. A clock that went back must not make
// the entry older than what the floor has dropped.
func (r *Recorder) retainedFrom(now time.Time) time.Time {
	earliest := r.table.floor.Add(r.config.Retention)
	if now.Before(earliest) {
		return earliest
	}
	return now
}

func (r *Recorder) opaqueBelow(floor time.Time) []string {
	var ids []string
	for id, entry := range r.table.entries {
		if entry.Record != nil && parseKey(entry.Record.Key).kind == keyOpaque && r.below(entry, floor) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// dropBelow is the same function of the floor on every member, so drops need not be copied.
func (r *Recorder) dropBelow(floor time.Time) {
	for id, entry := range r.table.entries {
		if !r.below(entry, floor) {
			continue
		}
		r.discard(id)
		delete(r.table.highest, id)
	}
}

func (r *Recorder) below(entry Entry, floor time.Time) bool {
	switch {
	case entry.Session != nil:
		return !entry.Session.Issued.Add(r.config.SessionLifetime).After(floor)
	case entry.Record != nil:
		return r.recordBelow(entry.Record, floor)
	}
	return false
}

func (r *Recorder) recordBelow(record *Record, floor time.Time) bool {
	key := parseKey(record.Key)
	switch key.kind {
	case keyTimed:
		return !key.dated.After(floor)
	case keySession:
		session, ok := r.table.entries[sessionID(record.Organisation, key.session)]
		return !ok || r.below(session, floor)
	}
	return !record.Created.After(floor)
}
