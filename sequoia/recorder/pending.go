package recorder

import (
	"slices"
	"time"
)

// pendingReply is a reply that is delayed until the other members have synced the entries that it depends on.
type pendingReply struct {
	token    uint64
	reply    Reply
	seq      uint64 // entries up to this one must be synced
	round    uint64 // a Replicate message of this round, sent after the call arrived, must be acknowledged
	recordID string // record that a granted reply depends on
	deadline time.Time
}

// replyWhenSynced replies once every member has synced the entries up to seq.
func (r *Recorder) replyWhenSynced(now time.Time, token uint64, reply Reply, seq uint64) {
	r.pendingReplies = append(r.pendingReplies, pendingReply{token: token, reply: reply, seq: seq, deadline: now.Add(replyTimeout)})
}

// replyGrantedWhenSynced is like replyWhenSynced, but replies OutcomeUnavailable if the permit was released in the
// meantime.
func (r *Recorder) replyGrantedWhenSynced(now time.Time, token uint64, reply Reply, seq uint64) {
	r.replyWhenSynced(now, token, reply, seq)
	r.pendingReplies[len(r.pendingReplies)-1].recordID = recordID(reply.Permit.Organisation, reply.Permit.Key)
}

// replyWhenConfirmed replies once every member has confirmed the view after the call arrived. It is used for replies
// that say that a key was not executed, because a primary that was replaced without knowing must not say so.
func (r *Recorder) replyWhenConfirmed(now time.Time, token uint64, reply Reply) {
	r.confirmRequested = true
	r.replyWhenSynced(now, token, reply, r.meta.Applied)
	r.pendingReplies[len(r.pendingReplies)-1].round = r.round + 1
}

func (r *Recorder) sendReadyReplies() {
	r.pendingReplies = slices.DeleteFunc(r.pendingReplies, func(p pendingReply) bool {
		if !r.isReady(p) {
			return false
		}
		r.respond(p.token, r.recheckGrant(p))
		return true
	})
}

func (r *Recorder) recheckGrant(p pendingReply) Reply {
	if p.recordID == "" {
		return p.reply
	}
	record := r.table.entries[p.recordID].Record
	if record != nil && record.State == StateGranted && record.Attempt == p.reply.Permit.Attempt {
		return p.reply
	}
	return Reply{Outcome: OutcomeUnavailable}
}

func (r *Recorder) isReady(pending pendingReply) bool {
	for _, p := range r.peers {
		if p.required && (p.ackedSeq < pending.seq || p.ackedRound < pending.round) {
			return false
		}
	}
	return true
}

func (r *Recorder) expirePendingReplies(now time.Time) {
	r.pendingReplies = slices.DeleteFunc(r.pendingReplies, func(p pendingReply) bool {
		if now.Before(p.deadline) {
			return false
		}
		r.respond(p.token, Reply{Outcome: OutcomeUnavailable})
		return true
	})
}

func (r *Recorder) failPendingReplies() {
	for _, p := range r.pendingReplies {
		r.respond(p.token, Reply{Outcome: OutcomeNotPrimary})
	}
	r.pendingReplies = nil
}

func (r *Recorder) respond(token uint64, reply Reply) {
	reply.View = r.meta.View
	if reply.Outcome == OutcomeUnavailable || reply.Outcome == OutcomePending {
		reply.Retry = time.Second
	}
	r.outbox.add(Respond{Token: token, Reply: reply})
}
