package recorder

import (
	"slices"
	"time"
)

// target is the primary's knowledge of a member that it copies to.
type target struct {
	waits    bool // permits wait for it
	known    bool // its position has been reported
	complete bool // it holds every permit, as it reported
	departed bool // it is about to stop
	acked    uint64
	sent     uint64
	round    uint64
	sentAt   time.Time
	gapAt    time.Time
	heard    time.Time
}

// resetTargets keeps what is known of members that stay.
func (r *Recorder) resetTargets(now time.Time) {
	old := r.targets
	r.targets = map[string]*target{}
	if r.meta.View.Primary != r.config.MemberID {
		return
	}
	for _, member := range r.meta.View.Members {
		if member != r.config.MemberID {
			r.targets[member] = keepTarget(old[member], now, true)
		}
	}
	if r.meta.Joiner != "" {
		r.targets[r.meta.Joiner] = keepTarget(old[r.meta.Joiner], now, r.meta.JoinerRequired)
	}
}

func keepTarget(old *target, now time.Time, waits bool) *target {
	if old == nil {
		return &target{waits: waits, heard: now}
	}
	old.waits = waits
	return old
}

func (r *Recorder) copyToTargets(now time.Time) {
	force := r.confirm
	if r.confirm {
		r.round++
		r.confirm = false
	}
	for _, member := range sortedKeys(r.targets) {
		r.copyTo(now, member, r.targets[member], force)
	}
}

func sortedKeys(targets map[string]*target) []string {
	keys := make([]string, 0, len(targets))
	for key := range targets {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (r *Recorder) copyTo(now time.Time, member string, t *target, force bool) {
	if t.known && t.acked < t.sent && now.Sub(t.sentAt) >= retransmitInterval {
		t.sent = t.acked
	}
	sent := false
	for t.known && t.sent < r.meta.Applied && t.sent-t.acked < copyWindow {
		entries, through := r.table.since(t.sent, r.meta.Applied)
		r.sendCopy(now, member, t, through, entries)
		sent = true
	}
	if !sent && (force || t.sentAt.IsZero() || now.Sub(t.sentAt) >= heartbeatInterval) {
		r.sendCopy(now, member, t, r.startOf(t), nil)
	}
}

// startOf returns where an empty Copy starts: a member whose position is unknown reports it as a gap.
func (r *Recorder) startOf(t *target) uint64 {
	if t.known {
		return t.sent
	}
	return r.meta.Applied
}

func (r *Recorder) sendCopy(now time.Time, member string, t *target, through uint64, entries []Entry) {
	after := through
	if len(entries) > 0 || t.known {
		after = t.sent
	}
	r.out.add(Send{To: member, Message: Replicate{
		View: r.meta.View, From: r.config.MemberID, To: member, Term: r.meta.Term, After: after, Through: through,
		Round: r.round, Complete: t.waits && through == r.meta.Applied, Entries: entries,
	}})
	t.sentAt = now
	if t.known {
		t.sent = through
	}
}

func (r *Recorder) receiveAck(now time.Time, a Ack) {
	t := r.targets[a.From]
	if !r.leads() || t == nil || a.To != r.config.MemberID || a.View > r.meta.View.Number {
		return
	}
	t.heard = now
	if a.Term != r.meta.Term {
		t.known = true
		t.acked, t.sent = 0, 0
		return
	}
	if !t.known {
		t.known = true
		t.sent = a.Applied
	}
	t.complete = a.Complete
	t.acked = max(t.acked, a.Applied)
	t.round = max(t.round, a.Round)
	t.sent = max(t.sent, t.acked)
	if a.Gap && now.Sub(t.gapAt).Abs() >= gapInterval {
		t.gapAt = now
		t.sent = t.acked
	}
	if a.From == r.meta.Joiner {
		r.advanceJoiner(now, t)
	}
}
