package recorder

import (
	"slices"
	"strings"
	"time"
)

// askIn asks to be copied to, or starts the first view or a new epoch when nobody is left to ask.
func (r *Recorder) askIn(now time.Time) {
	view := r.meta.View
	if r.vacant {
		r.meta.Complete = true // there are no permits yet
		r.persistMeta()
		first := View{Zone: r.config.Zone, Epoch: 1}
		r.propose(now, Propose{View: first.next(r.config.MemberID, r.config.MemberID)})
		return
	}
	if view.Number == 0 || view.Has(r.config.MemberID) {
		return
	}
	if r.allLost() {
		next := view.next(r.config.MemberID, r.config.MemberID)
		next.Epoch++
		r.propose(now, Propose{View: next, LostMembers: view.Members})
	}
	if !r.lastJoin.IsZero() && now.Sub(r.lastJoin).Abs() < joinInterval {
		return
	}
	r.lastJoin = now
	for _, member := range view.Members {
		if vmOf(member) != vmOf(r.config.MemberID) {
			r.out.add(Send{To: member, Message: Join{From: r.config.MemberID, To: member}})
		}
	}
}

// retire notes members that the agreement replaced because their disks were lost; such a member id never comes back.
func (r *Recorder) retire(members []string) {
	for _, member := range members {
		r.retired[member] = true
	}
}

func (r *Recorder) isRetired(member string) bool {
	return r.retired[member]
}

// allLost reports whether every member of the view lost its disk.
func (r *Recorder) allLost() bool {
	return !slices.ContainsFunc(r.meta.View.Members, func(m string) bool { return !r.isRetired(m) })
}

// receiveJoin starts to copy to a member outside the view, one at a time.
func (r *Recorder) receiveJoin(now time.Time, j Join) {
	if !r.leads() || r.isRetired(j.From) || r.meta.View.Has(j.From) || r.meta.Joiner != "" {
		return
	}
	r.meta.Joiner = j.From
	r.resetTargets(now)
}

// advanceJoiner first makes permits wait for a joiner that has nearly all entries, then proposes it as a member once
// it has all, in place of a member whose disk was lost. A permit that is given between the copy and the new view is thus on the joiner too, and the joiner can
// take over at once when the other member fails.
func (r *Recorder) advanceJoiner(now time.Time, t *target) {
	if !r.meta.JoinerRequired && r.meta.Applied-t.acked <= joinLag {
		r.meta.JoinerRequired = true
		r.mandatoryAt = r.meta.Applied
		r.persistMeta()
		t.waits = true
		t.sentAt = time.Time{}
	}
	r.proposeJoiner(now)
}

func (r *Recorder) proposeJoiner(now time.Time) {
	t := r.targets[r.meta.Joiner]
	if t == nil || !r.meta.JoinerRequired || !t.complete || t.acked < r.mandatoryAt {
		return
	}
	members := slices.DeleteFunc(slices.Clone(r.meta.View.Members), r.isRetired)
	members = append(members, r.meta.Joiner)
	r.propose(now, Propose{View: r.meta.View.next(r.config.MemberID, members...)})
}

func vmOf(member string) string {
	vm, _, _ := strings.Cut(member, "#")
	return vm
}
