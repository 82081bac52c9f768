package recorder

import (
	"slices"
	"time"
)

// peer is the primary's replication state of another member.
type peer struct {
	required      bool // permits wait for the member
	positionKnown bool // the member has reported its applied sequence number
	complete      bool // the member reported that it holds every permit
	departing     bool // the member is about to stop
	ackedSeq      uint64
	sentSeq       uint64
	ackedRound    uint64
	sentAt        time.Time
	lastGapResend time.Time
	lastHeard     time.Time
}

// resetPeers rebuilds the peers of the current view and keeps the state of those that remain.
func (r *Recorder) resetPeers(now time.Time) {
	old := r.peers
	r.peers = map[string]*peer{}
	if r.meta.View.Primary != r.config.MemberID {
		return
	}
	for _, member := range r.meta.View.Members {
		if member != r.config.MemberID {
			r.peers[member] = keepPeer(old[member], now, true)
		}
	}
	if r.meta.Joiner != "" {
		r.peers[r.meta.Joiner] = keepPeer(old[r.meta.Joiner], now, r.meta.JoinerRequired)
	}
}

func keepPeer(old *peer, now time.Time, required bool) *peer {
	if old == nil {
		return &peer{required: required, lastHeard: now}
	}
	old.required = required
	return old
}

func (r *Recorder) replicateToPeers(now time.Time) {
	force := r.confirmRequested
	if r.confirmRequested {
		r.round++
		r.confirmRequested = false
	}
	for _, member := range sortedMembers(r.peers) {
		r.replicateTo(now, member, r.peers[member], force)
	}
}

func sortedMembers(peers map[string]*peer) []string {
	members := make([]string, 0, len(peers))
	for member := range peers {
		members = append(members, member)
	}
	slices.Sort(members)
	return members
}

func (r *Recorder) replicateTo(now time.Time, member string, p *peer, force bool) {
	if p.positionKnown && p.ackedSeq < p.sentSeq && now.Sub(p.sentAt) >= retransmitInterval {
		p.sentSeq = p.ackedSeq
	}
	sent := false
	for p.positionKnown && p.sentSeq < r.meta.Applied && p.sentSeq-p.ackedSeq < maxInFlightEntries {
		entries, through := r.table.entriesAfter(p.sentSeq, r.meta.Applied)
		r.sendReplicate(now, member, p, through, entries)
		sent = true
	}
	if !sent && (force || p.sentAt.IsZero() || now.Sub(p.sentAt) >= heartbeatInterval) {
		r.sendReplicate(now, member, p, r.heartbeatSeq(p), nil)
	}
}

// heartbeatSeq returns the position of a Replicate message without entries. A member whose position is unknown is sent
// the primary's own, which it reports as a gap.
func (r *Recorder) heartbeatSeq(p *peer) uint64 {
	if p.positionKnown {
		return p.sentSeq
	}
	return r.meta.Applied
}

func (r *Recorder) sendReplicate(now time.Time, member string, p *peer, through uint64, entries []Entry) {
	after := through
	if len(entries) > 0 || p.positionKnown {
		after = p.sentSeq
	}
	r.outbox.add(Send{To: member, Message: Replicate{
		View: r.meta.View, From: r.config.MemberID, To: member, Term: r.meta.Term, After: after, Through: through,
		Round: r.round, Complete: p.required && through == r.meta.Applied, Entries: entries,
	}})
	p.sentAt = now
	if p.positionKnown {
		p.sentSeq = through
	}
}

func (r *Recorder) handleAck(now time.Time, a Ack) {
	p := r.peers[a.From]
	if !r.isPrimary() || p == nil || a.To != r.config.MemberID || a.View > r.meta.View.Number {
		return
	}
	p.lastHeard = now
	if a.Term != r.meta.Term {
		p.positionKnown = true
		p.ackedSeq, p.sentSeq = 0, 0
		return
	}
	if !p.positionKnown {
		p.positionKnown = true
		p.sentSeq = a.Applied
	}
	p.complete = a.Complete
	p.ackedSeq = max(p.ackedSeq, a.Applied)
	p.ackedRound = max(p.ackedRound, a.Round)
	p.sentSeq = max(p.sentSeq, p.ackedSeq)
	if a.Gap && now.Sub(p.lastGapResend).Abs() >= gapResendInterval {
		p.lastGapResend = now
		p.sentSeq = p.ackedSeq
	}
	if a.From == r.meta.Joiner {
		r.advanceJoiner(now, p)
	}
}
