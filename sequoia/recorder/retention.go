package recorder

import (
	"slices"
	"time"
)

// advanceWatermark raises the low watermark towards the end of the retention and drops the entries below it. The
// watermark is persisted and replicated before a record is dropped, and it alone decides what is too old, so a clock
// that steps back cannot make a dropped key acceptable again.
func (r *Recorder) advanceWatermark(now time.Time) {
	target := now.Add(-r.config.Retention).Truncate(time.Second)
	if r.table.watermark.IsZero() {
		r.setWatermark(now, target)
		return
	}
	elapsed := now.Sub(r.lastWatermark)
	if elapsed >= 0 && elapsed < watermarkInterval {
		return
	}
	r.lastWatermark = now
	if !target.After(r.table.watermark) {
		return
	}
	limit := r.table.watermark.Add(maxWatermarkStep)
	if target.After(limit) {
		target = limit
	}
	r.setWatermark(now, target)
}

// setWatermark writes the digests of the opaque keys that it drops before the watermark itself, so that a member that
// holds any prefix of the entries still knows those keys.
func (r *Recorder) setWatermark(now time.Time, watermark time.Time) {
	r.lastWatermark = now
	for _, id := range r.expiredOpaqueIDs(watermark) {
		record := r.table.entries[id].Record
		r.appendEntry(Entry{ID: digestID(record.Organisation, record.Key), UsedKey: &UsedKey{}})
	}
	r.appendEntry(Entry{ID: watermarkID, LowWatermark: &LowWatermark{Time: watermark}})
	r.dropExpired(watermark)
}

// retentionStart returns the time at which the retention of a new entry starts. A clock that stepped back must not make
// the entry older than what was already dropped.
func (r *Recorder) retentionStart(now time.Time) time.Time {
	earliest := r.table.watermark.Add(r.config.Retention)
	if now.Before(earliest) {
		return earliest
	}
	return now
}

func (r *Recorder) expiredOpaqueIDs(watermark time.Time) []string {
	var ids []string
	for id, entry := range r.table.entries {
		if entry.Record != nil && parseKey(entry.Record.Key).kind == keyOpaque && r.expired(entry, watermark) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// dropExpired depends only on the entries and the watermark, so every member drops the same entries without
// replication.
func (r *Recorder) dropExpired(watermark time.Time) {
	for id, entry := range r.table.entries {
		if !r.expired(entry, watermark) {
			continue
		}
		r.removeEntry(id)
		delete(r.table.highestNumber, id)
	}
}

func (r *Recorder) expired(entry Entry, watermark time.Time) bool {
	switch {
	case entry.Session != nil:
		return !entry.Session.Issued.Add(r.config.SessionLifetime).After(watermark)
	case entry.Record != nil:
		return r.recordExpired(entry.Record, watermark)
	}
	return false
}

func (r *Recorder) recordExpired(record *Record, watermark time.Time) bool {
	key := parseKey(record.Key)
	switch key.kind {
	case keyTimed:
		return !key.timestamp.After(watermark)
	case keySession:
		session, ok := r.table.entries[sessionID(record.Organisation, key.session)]
		return !ok || r.expired(session, watermark)
	}
	return !record.Created.After(watermark)
}
