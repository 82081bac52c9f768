package recorder

import "time"

// handOver asks another member to take over if this member is the primary, and otherwise asks the primary to remove it
// from the view. A member proposes only views of which it is the primary: a view proposed on behalf of another member
// could leave the records with one that has just lost its disk.
func (r *Recorder) handOver(now time.Time) {
	if !r.meta.View.Has(r.config.MemberID) {
		return
	}
	if to := r.successor(now); to != "" {
		r.outbox.add(Send{To: to, Message: Depart{From: r.config.MemberID, To: to}})
	}
}

// successor returns the member to which Depart is sent, or "" when there is none.
func (r *Recorder) successor(now time.Time) string {
	if !r.isPrimary() {
		return r.meta.View.Primary
	}
	for _, member := range r.meta.View.Members {
		if p := r.peers[member]; p != nil && p.complete && now.Sub(p.lastHeard) < heartbeatTimeout {
			return member
		}
	}
	return ""
}

// handleDepart removes a member that is about to stop, or takes over from a primary that is.
func (r *Recorder) handleDepart(now time.Time, d Depart) {
	view := r.meta.View
	if d.To != r.config.MemberID || r.shuttingDown {
		return
	}
	if p := r.peers[d.From]; p != nil && r.isPrimary() {
		p.departing = true
		r.removeFailed(now)
	}
	if d.From == view.Primary && view.Has(r.config.MemberID) && r.meta.Complete {
		r.propose(now, Propose{View: view.next(r.config.MemberID, r.config.MemberID)})
	}
}
