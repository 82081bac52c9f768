package recorder

import (
	"slices"
	"time"
)

// install adopts a later view; the agreement and the Copy of a primary carry it.
func (r *Recorder) install(now time.Time, v View) {
	current := r.meta.View
	if v.Number == 0 {
		r.vacant = current.Number == 0
		return
	}
	if v.Number <= current.Number || v.Zone != r.config.Zone {
		return
	}
	r.vacant = false
	led := r.leads()
	r.meta.View = v
	r.meta.Joiner = ""
	r.meta.JoinerRequired = false
	r.adoptRole(current, v)
	r.persistMeta()
	r.lastHeard = now
	r.resetTargets(now)
	if led && !r.leads() {
		r.failWaiters()
	}
}

// adoptRole decides whether the member holds all permits under the new view, and under which reign it writes.
func (r *Recorder) adoptRole(current, v View) {
	newEpoch := current.Number > 0 && v.Number == current.Number+1 && v.Epoch > current.Epoch
	switch {
	case !v.Has(r.config.MemberID):
		r.meta.Complete = false
	case v.Number == 1: // no permit exists, and every later one waits for this member
		r.meta.Complete = r.meta.Complete || r.config.Initial
		r.meta.Term = v.Number
	case v.Primary == r.config.MemberID && newEpoch:
		r.meta.Complete = true
		r.meta.Term = v.Number
	case v.Primary == r.config.MemberID && current.Primary != r.config.MemberID:
		r.meta.Term = v.Number
	}
}

// dropSilent proposes a view without the members that do not answer; permits cannot be given until it is agreed.
func (r *Recorder) dropSilent(now time.Time) {
	if t := r.targets[r.meta.Joiner]; t != nil && !t.waits && now.Sub(t.heard) >= silentAfter {
		r.meta.Joiner = ""
		r.resetTargets(now)
	}
	silent := func(member string) bool {
		t := r.targets[member]
		return t != nil && (t.departed || now.Sub(t.heard) >= silentAfter || r.isRetired(member))
	}
	members := slices.DeleteFunc(slices.Clone(r.meta.View.Members), silent)
	joinerFails := r.meta.JoinerRequired && silent(r.meta.Joiner)
	if len(members) == len(r.meta.View.Members) && !joinerFails {
		r.proposeJoiner(now)
		return
	}
	r.propose(now, Propose{View: r.meta.View.next(r.config.MemberID, members...)})
}

// takeOver proposes this member alone; others are copied to anew, so that no entry of the old primary stays behind.
func (r *Recorder) takeOver(now time.Time) {
	if now.Sub(r.lastHeard) >= takeoverAfter || r.isRetired(r.meta.View.Primary) {
		r.propose(now, Propose{View: r.meta.View.next(r.config.MemberID, r.config.MemberID)})
	}
}

func (r *Recorder) propose(now time.Time, proposal Propose) {
	if !r.lastPropose.IsZero() && now.Sub(r.lastPropose).Abs() < proposeInterval {
		return
	}
	r.lastPropose = now
	r.out.add(proposal)
}
