package recorder

import "time"

// leave asks another member to take over when this member is the primary, else asks the primary to remove it. Each
// member proposes only views of which it is the primary itself: a view proposed for another member could leave the
// records with one that has just lost its disk.
func (r *Recorder) leave(now time.Time) {
	if !r.meta.View.Has(r.config.MemberID) {
		return
	}
	if to := r.successor(now); to != "" {
		r.out.add(Send{To: to, Message: Depart{From: r.config.MemberID, To: to}})
	}
}

// successor returns the member to send Depart to, or "" when nobody is left.
func (r *Recorder) successor(now time.Time) string {
	if !r.leads() {
		return r.meta.View.Primary
	}
	for _, member := range r.meta.View.Members {
		if t := r.targets[member]; t != nil && t.complete && now.Sub(t.heard) < silentAfter {
			return member
		}
	}
	return ""
}

// receiveDepart removes a member that is about to stop, or takes over from a primary that is.
func (r *Recorder) receiveDepart(now time.Time, d Depart) {
	view := r.meta.View
	if d.To != r.config.MemberID || r.leaving {
		return
	}
	if t := r.targets[d.From]; t != nil && r.leads() {
		t.departed = true
		r.dropSilent(now)
	}
	if d.From == view.Primary && view.Has(r.config.MemberID) && r.meta.Complete {
		r.propose(now, Propose{View: view.next(r.config.MemberID, r.config.MemberID)})
	}
}
