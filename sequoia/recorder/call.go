package recorder

import "time"

// handleCall dispatches a request of a gateway.
func (r *Recorder) handleCall(now time.Time, c Call) {
	if !r.isPrimary() || zoneOf(c.Request) != r.meta.View.Zone {
		r.respond(c.Token, Reply{Outcome: OutcomeNotPrimary})
		return
	}
	switch request := c.Request.(type) {
	case Begin:
		r.handleBegin(now, c.Token, request)
	case Finish:
		r.handleFinish(now, c.Token, request)
	case Release:
		r.handleRelease(now, c.Token, request)
	case Lookup:
		r.handleLookup(now, c.Token, request)
	case Session:
		r.handleSession(now, c.Token, request)
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

// handleFinish records the result that the permit's holder reports, even after the permit's lifetime.
func (r *Recorder) handleFinish(now time.Time, token uint64, f Finish) {
	entry, ok := r.table.entries[recordID(f.Organisation, f.Key)]
	if !ok {
		r.replyWhenSynced(now, token, Reply{Outcome: OutcomeExpired}, 0)
		return
	}
	if entry.Record.Attempt != f.Attempt || entry.Record.State == StateReleased {
		r.replyWhenSynced(now, token, Reply{Outcome: OutcomeNotHolder}, entry.Seq)
		return
	}
	seq := entry.Seq
	if next, changed := applyResult(*entry.Record, f); changed {
		seq = r.appendEntry(Entry{ID: entry.ID, Record: &next})
	}
	r.replyWhenSynced(now, token, Reply{Outcome: OutcomeDone}, seq)
}

// applyResult returns the record with the result and whether it changed. A recorded response is never replaced.
func applyResult(record Record, f Finish) (Record, bool) {
	switch {
	case record.State == StateFinished:
		return record, false
	case f.Result == ResultAnswered:
		record.State = StateFinished
		record.Response = omitLargeBody(f.Answer)
		return record, true
	case record.State == StateUnknown:
		return record, false
	}
	record.State = StateUnknown
	return record, true
}

func omitLargeBody(response Response) Response {
	if len(response.Body) > maxRecordedBodyBytes {
		response.Body = nil
		response.Omitted = true
	}
	return response
}

// handleRelease makes the key available to another attempt. Only the holder can release a permit, and only before
// Finish.
func (r *Recorder) handleRelease(now time.Time, token uint64, release Release) {
	entry, ok := r.table.entries[recordID(release.Organisation, release.Key)]
	if !ok {
		r.replyWhenSynced(now, token, Reply{Outcome: OutcomeExpired}, 0)
		return
	}
	record := *entry.Record
	if record.Attempt != release.Attempt || record.State == StateFinished || record.State == StateUnknown {
		r.replyWhenSynced(now, token, Reply{Outcome: OutcomeNotHolder}, entry.Seq)
		return
	}
	seq := entry.Seq
	if record.State == StateGranted {
		record.State = StateReleased
		seq = r.appendEntry(Entry{ID: entry.ID, Record: &record})
	}
	r.replyWhenSynced(now, token, Reply{Outcome: OutcomeDone}, seq)
}

func (r *Recorder) handleLookup(now time.Time, token uint64, l Lookup) {
	entry, ok := r.table.entries[recordID(l.Organisation, l.Key)]
	if ok && !r.runnable(entry.Record) {
		r.replyWhenSynced(now, token, r.outcomeReply(now, entry.Record), entry.Seq)
		return
	}
	reply := Reply{Outcome: OutcomeGranted}
	if !ok {
		reply = r.admit(now, l.Organisation, l.Key)
	}
	if reply.Outcome == OutcomeGranted {
		reply = Reply{Outcome: OutcomeAbsent}
	}
	r.replyWhenConfirmed(now, token, reply)
}
