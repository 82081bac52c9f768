package recorder

import (
	"slices"
	"time"
)

// waiter is a reply that is held back until the other members have synced what it relies on.
type waiter struct {
	token    uint64
	reply    Reply
	seq      uint64 // entries up to here must be synced
	round    uint64 // and a Copy sent after the call arrived must be acknowledged in the view
	record   string // id of the record that a granted reply relies on
	deadline time.Time
}

// reply answers once every member has synced the entries up to seq.
func (r *Recorder) reply(now time.Time, token uint64, reply Reply, seq uint64) {
	r.waiters = append(r.waiters, waiter{token: token, reply: reply, seq: seq, deadline: now.Add(waitLimit)})
}

// replyGranted answers like reply, unless the permit was given back in the meantime.
func (r *Recorder) replyGranted(now time.Time, token uint64, reply Reply, seq uint64) {
	r.reply(now, token, reply, seq)
	r.waiters[len(r.waiters)-1].record = recordID(reply.Permit.Organisation, reply.Permit.Key)
}

// replyConfirmed answers once every member has confirmed the view after the call arrived. It is used where the reply
// says that a key has not run: a primary that was replaced without knowing must not say so.
func (r *Recorder) replyConfirmed(now time.Time, token uint64, reply Reply) {
	r.confirm = true
	r.reply(now, token, reply, r.meta.Applied)
	r.waiters[len(r.waiters)-1].round = r.round + 1
}

func (r *Recorder) answerWaiters() {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool {
		if !r.synced(w) {
			return false
		}
		r.respond(w.token, r.checkGranted(w))
		return true
	})
}

func (r *Recorder) checkGranted(w waiter) Reply {
	if w.record == "" {
		return w.reply
	}
	record := r.table.entries[w.record].Record
	if record != nil && record.State == StateGranted && record.Attempt == w.reply.Permit.Attempt {
		return w.reply
	}
	return Reply{Outcome: OutcomeUnavailable}
}

func (r *Recorder) synced(w waiter) bool {
	for _, t := range r.targets {
		if t.waits && (t.acked < w.seq || t.round < w.round) {
			return false
		}
	}
	return true
}

func (r *Recorder) expireWaiters(now time.Time) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		r.respond(w.token, Reply{Outcome: OutcomeUnavailable})
		return true
	})
}

func (r *Recorder) failWaiters() {
	for _, w := range r.waiters {
		r.respond(w.token, Reply{Outcome: OutcomeNotPrimary})
	}
	r.waiters = nil
}

func (r *Recorder) respond(token uint64, reply Reply) {
	reply.View = r.meta.View
	if reply.Outcome == OutcomeUnavailable || reply.Outcome == OutcomePending {
		reply.Retry = time.Second
	}
	r.out.add(Respond{Token: token, Reply: reply})
}
