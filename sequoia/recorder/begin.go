package recorder

import "time"

// begin gives the permit for a key to at most one attempt that does not give it back.
func (r *Recorder) begin(now time.Time, token uint64, b Begin) {
	entry, ok := r.table.entries[recordID(b.Organisation, b.Key)]
	if ok {
		r.beginAgain(now, token, b, entry)
		return
	}
	verdict := r.admit(now, b.Organisation, b.Key)
	if verdict.Outcome != OutcomeGranted {
		r.replyConfirmed(now, token, verdict)
		return
	}
	r.grant(now, token, b, Record{Created: r.retainedFrom(now)})
}

// beginAgain handles a key that has a record.
func (r *Recorder) beginAgain(now time.Time, token uint64, b Begin, entry Entry) {
	record := entry.Record
	switch {
	case record.Digest != b.Digest || record.Service != b.Service:
		r.reply(now, token, Reply{Outcome: OutcomeConflict}, entry.Seq)
	case r.runnable(record) && record.Attempt == b.Attempt:
		r.replyConfirmed(now, token, Reply{Outcome: OutcomeRefused, Hint: "this attempt gave its permit back"})
	case r.runnable(record):
		r.grant(now, token, b, *record)
	case r.pending(now, record) && record.Attempt == b.Attempt:
		r.replyGranted(now, token, r.granted(record), entry.Seq)
	default:
		r.reply(now, token, r.outcomeOf(now, record), entry.Seq)
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
	seq := r.write(Entry{ID: recordID(b.Organisation, b.Key), Record: &record})
	r.replyGranted(now, token, r.granted(&record), seq)
}

func (r *Recorder) granted(record *Record) Reply {
	return Reply{Outcome: OutcomeGranted, Permit: Permit{
		Zone: r.meta.View.Zone, Organisation: record.Organisation, Key: record.Key, Attempt: record.Attempt,
		Service: record.Service, Epoch: record.Epoch, View: r.meta.View.Number, Lifetime: r.config.PermitLifetime,
	}}
}

// runnable reports whether the last holder gave the permit back. A release of an earlier epoch does not count: the
// members that are lost may have given the permit to another attempt since.
func (r *Recorder) runnable(record *Record) bool {
	return record.State == StateReleased && record.Epoch == r.meta.View.Epoch
}

// pending reports whether the holder may still be at work. A permit of an earlier epoch is unknown at once.
func (r *Recorder) pending(now time.Time, record *Record) bool {
	expires := record.Granted.Add(r.config.PermitLifetime)
	return record.State == StateGranted && record.Epoch == r.meta.View.Epoch && now.Before(expires)
}

// outcomeOf returns the reply for a record that gives no permit.
func (r *Recorder) outcomeOf(now time.Time, record *Record) Reply {
	switch {
	case record.State == StateFinished:
		return Reply{Outcome: OutcomeReplay, Answer: record.Response}
	case r.pending(now, record):
		return Reply{Outcome: OutcomePending}
	}
	return Reply{Outcome: OutcomeUnknown}
}
