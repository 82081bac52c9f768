package recorder

import "time"

// call handles a request of a gateway.
func (r *Recorder) call(now time.Time, c Call) {
	if !r.leads() || zoneOf(c.Request) != r.meta.View.Zone {
		r.respond(c.Token, Reply{Outcome: OutcomeNotPrimary})
		return
	}
	switch request := c.Request.(type) {
	case Begin:
		r.begin(now, c.Token, request)
	case Finish:
		r.finish(now, c.Token, request)
	case Release:
		r.release(now, c.Token, request)
	case Lookup:
		r.lookup(now, c.Token, request)
	case Session:
		r.openSession(now, c.Token, request)
	}
}

func zoneOf(request Request) string {
	switch request := request.(type) {
	case Begin:
		return request.Zone
	case Finish:
		return request.Zone
	case Release:
		return request.Zone
	case Lookup:
		return request.Zone
	case Session:
		return request.Zone
	}
	return ""
}

// finish records the result of the permit's holder, also when it comes late.
func (r *Recorder) finish(now time.Time, token uint64, f Finish) {
	entry, ok := r.table.entries[recordID(f.Organisation, f.Key)]
	if !ok {
		r.reply(now, token, Reply{Outcome: OutcomeExpired}, 0)
		return
	}
	if entry.Record.Attempt != f.Attempt || entry.Record.State == StateReleased {
		r.reply(now, token, Reply{Outcome: OutcomeNotHolder}, entry.Seq)
		return
	}
	seq := entry.Seq
	if next, changed := finished(*entry.Record, f); changed {
		seq = r.write(Entry{ID: entry.ID, Record: &next})
	}
	r.reply(now, token, Reply{Outcome: OutcomeDone}, seq)
}

// finished returns the record after a result; an answer is never replaced.
func finished(record Record, f Finish) (Record, bool) {
	switch {
	case record.State == StateFinished:
		return record, false
	case f.Result == ResultAnswered:
		record.State = StateFinished
		record.Response = shorten(f.Answer)
		return record, true
	case record.State == StateUnknown:
		return record, false
	}
	record.State = StateUnknown
	return record, true
}

func shorten(answer Response) Response {
	if len(answer.Body) > maxAnswerBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	return answer
}

// release makes the key available to another attempt; only the holder can do so, and only for an unfinished call.
func (r *Recorder) release(now time.Time, token uint64, release Release) {
	entry, ok := r.table.entries[recordID(release.Organisation, release.Key)]
	if !ok {
		r.reply(now, token, Reply{Outcome: OutcomeExpired}, 0)
		return
	}
	record := *entry.Record
	if record.Attempt != release.Attempt || record.State == StateFinished || record.State == StateUnknown {
		r.reply(now, token, Reply{Outcome: OutcomeNotHolder}, entry.Seq)
		return
	}
	seq := entry.Seq
	if record.State == StateGranted {
		record.State = StateReleased
		seq = r.write(Entry{ID: entry.ID, Record: &record})
	}
	r.reply(now, token, Reply{Outcome: OutcomeDone}, seq)
}

func (r *Recorder) lookup(now time.Time, token uint64, l Lookup) {
	entry, ok := r.table.entries[recordID(l.Organisation, l.Key)]
	if ok && !r.runnable(entry.Record) {
		r.reply(now, token, r.outcomeOf(now, entry.Record), entry.Seq)
		return
	}
	verdict := Reply{Outcome: OutcomeGranted}
	if !ok {
		verdict = r.admit(now, l.Organisation, l.Key)
	}
	if verdict.Outcome == OutcomeGranted {
		verdict = Reply{Outcome: OutcomeAbsent}
	}
	r.replyConfirmed(now, token, verdict)
}
