package recorder

import (
	"slices"
	"time"
)

// installView adopts a newer view, which arrives from the consensus group or with a primary's Replicate message.
func (r *Recorder) installView(now time.Time, v View) {
	current := r.meta.View
	if v.Number == 0 {
		r.noViewAgreed = current.Number == 0
		return
	}
	if v.Number <= current.Number || v.Zone != r.config.Zone {
		return
	}
	r.noViewAgreed = false
	wasPrimary := r.isPrimary()
	r.meta.View = v
	r.meta.Joiner = ""
	r.meta.JoinerRequired = false
	r.updateRole(current, v)
	r.persistMeta()
	r.lastHeard = now
	r.resetPeers(now)
	if wasPrimary && !r.isPrimary() {
		r.failPendingReplies()
	}
}

// updateRole decides whether the member holds all permits under the new view, and the term under which it writes.
func (r *Recorder) updateRole(current, v View) {
	newEpoch := current.Number > 0 && v.Number == current.Number+1 && v.Epoch > current.Epoch
	switch {
	case !v.Has(r.config.MemberID):
		r.meta.Complete = false
	case v.Number == 1: // no permit exists yet, and every later one waits for this member
		r.meta.Complete = r.meta.Complete || r.config.Initial
		r.meta.Term = v.Number
	case v.Primary == r.config.MemberID && newEpoch:
		r.meta.Complete = true
		r.meta.Term = v.Number
	case v.Primary == r.config.MemberID && current.Primary != r.config.MemberID:
		r.meta.Term = v.Number
	}
}

// removeFailed proposes a view without the members that failed. Permits cannot be granted until that view is agreed.
func (r *Recorder) removeFailed(now time.Time) {
	if p := r.peers[r.meta.Joiner]; p != nil && !p.required && now.Sub(p.lastHeard) >= heartbeatTimeout {
		r.meta.Joiner = ""
		r.resetPeers(now)
	}
	failed := func(member string) bool {
		p := r.peers[member]
		return p != nil && (p.departing || now.Sub(p.lastHeard) >= heartbeatTimeout || r.isRetired(member))
	}
	members := slices.DeleteFunc(slices.Clone(r.meta.View.Members), failed)
	joinerFailed := r.meta.JoinerRequired && failed(r.meta.Joiner)
	if len(members) == len(r.meta.View.Members) && !joinerFailed {
		r.proposeJoiner(now)
		return
	}
	r.propose(now, Propose{View: r.meta.View.next(r.config.MemberID, members...)})
}

// takeOver proposes a view of this member alone. The other members rejoin with a full copy, so that no entry of the old
// primary that this member lacks remains on them.
func (r *Recorder) takeOver(now time.Time) {
	if now.Sub(r.lastHeard) >= takeoverTimeout || r.isRetired(r.meta.View.Primary) {
		r.propose(now, Propose{View: r.meta.View.next(r.config.MemberID, r.config.MemberID)})
	}
}

func (r *Recorder) propose(now time.Time, proposal Propose) {
	if !r.lastPropose.IsZero() && now.Sub(r.lastPropose).Abs() < proposeInterval {
		return
	}
	r.lastPropose = now
	r.outbox.add(proposal)
}
