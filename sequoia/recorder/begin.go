package recorder

import "time"

// handleBegin grants the permit for a key to one attempt at a time; another attempt gets it only after a Release.
func (r *Recorder) handleBegin(now time.Time, token uint64, b Begin) {
	entry, ok := r.table.entries[recordID(b.Organisation, b.Key)]
	if ok {
		r.beginExisting(now, token, b, entry)
		return
	}
	reply := r.admit(now, b.Organisation, b.Key)
	if reply.Outcome != OutcomeGranted {
		r.replyWhenConfirmed(now, token, reply)
		return
	}
	r.grant(now, token, b, Record{Created: r.retentionStart(now)})
}

// beginExisting handles a Begin for a key that has a record.
func (r *Recorder) beginExisting(now time.Time, token uint64, b Begin, entry Entry) {
	record := entry.Record
	switch {
	case record.Digest != b.Digest || record.Service != b.Service:
		r.replyWhenSynced(now, token, Reply{Outcome: OutcomeConflict}, entry.Seq)
	case r.runnable(record) && record.Attempt == b.Attempt:
		r.replyWhenConfirmed(now, token, Reply{Outcome: OutcomeRefused, Hint: "this attempt gave its permit back"})
	case r.runnable(record):
		r.grant(now, token, b, *record)
	case r.pending(now, record) && record.Attempt == b.Attempt:
		r.replyGrantedWhenSynced(now, token, r.grantedReply(record), entry.Seq)
	default:
		r.replyWhenSynced(now, token, r.outcomeReply(now, record), entry.Seq)
	}
}

func (r *Recorder) grant(now time.Time, token uint64, b Begin, record Record) {
	record.Organisation = b.Organisation
	record.Key = b.Key
	record.Service = b.Service
	record.Digest = b.Digest
	record.Attempt = b.Attempt
	record.State = StateGranted
	record.Epoch = r.meta.View.Epoch
	record.Granted = now
	seq := r.appendEntry(Entry{ID: recordID(b.Organisation, b.Key), Record: &record})
	r.replyGrantedWhenSynced(now, token, r.grantedReply(&record), seq)
}

func (r *Recorder) grantedReply(record *Record) Reply {
	return Reply{Outcome: OutcomeGranted, Permit: Permit{
		Zone: r.meta.View.Zone, Organisation: record.Organisation, Key: record.Key, Attempt: record.Attempt,
		Service: record.Service, Epoch: record.Epoch, View: r.meta.View.Number, Lifetime: r.config.PermitLifetime,
	}}
}

// runnable reports whether the last holder released the permit. A release of an earlier epoch does not count, because
// the members that were lost may have granted the permit to another attempt since.
func (r *Recorder) runnable(record *Record) bool {
	return record.State == StateReleased && record.Epoch == r.meta.View.Epoch
}

// pending reports whether the holder may still be executing the call. A permit of an earlier epoch counts as unknown at
// once.
func (r *Recorder) pending(now time.Time, record *Record) bool {
	expires := record.Granted.Add(r.config.PermitLifetime)
	return record.State == StateGranted && record.Epoch == r.meta.View.Epoch && now.Before(expires)
}

// outcomeReply returns the reply for a record whose permit cannot be granted.
func (r *Recorder) outcomeReply(now time.Time, record *Record) Reply {
	switch {
	case record.State == StateFinished:
		return Reply{Outcome: OutcomeReplay, Answer: record.Response}
	case r.pending(now, record):
		return Reply{Outcome: OutcomePending}
	}
	return Reply{Outcome: OutcomeUnknown}
}
