package recorder

import (
	"slices"
	"strings"
	"time"
)

// requestJoin asks the members of the view to replicate to this member. It proposes the first view when none is agreed,
// and a new epoch when every member of the view lost its disk.
func (r *Recorder) requestJoin(now time.Time) {
	view := r.meta.View
	if r.noViewAgreed {
		r.meta.Complete = true // no permits exist yet
		r.persistMeta()
		first := View{Zone: r.config.Zone, Epoch: 1}
		r.propose(now, Propose{View: first.next(r.config.MemberID, r.config.MemberID)})
		return
	}
	if view.Number == 0 || view.Has(r.config.MemberID) {
		return
	}
	if r.allMembersLost() {
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
			r.outbox.add(Send{To: member, Message: Join{From: r.config.MemberID, To: member}})
		}
	}
}

// handleRetire marks members that were replaced because their disks were lost. Their ids are never reused.
func (r *Recorder) handleRetire(members []string) {
	for _, member := range members {
		r.retired[member] = true
	}
}

func (r *Recorder) isRetired(member string) bool {
	return r.retired[member]
}

// allMembersLost reports whether every member of the view lost its disk.
func (r *Recorder) allMembersLost() bool {
	return !slices.ContainsFunc(r.meta.View.Members, func(m string) bool { return !r.isRetired(m) })
}

// handleJoin starts the replication to a member outside the view, one member at a time.
func (r *Recorder) handleJoin(now time.Time, j Join) {
	if !r.isPrimary() || r.isRetired(j.From) || r.meta.View.Has(j.From) || r.meta.Joiner != "" {
		return
	}
	r.meta.Joiner = j.From
	r.resetPeers(now)
}

// advanceJoiner makes permits wait for a joiner once it has nearly all entries, and proposes it as a member, in place
// of one whose disk was lost, once it has all. A permit that is granted before the new view is agreed is thus on the
// joiner too, and the joiner can take over as soon as the other member fails.
func (r *Recorder) advanceJoiner(now time.Time, p *peer) {
	if !r.meta.JoinerRequired && r.meta.Applied-p.ackedSeq <= maxJoinLag {
		r.meta.JoinerRequired = true
		r.joinerRequiredSeq = r.meta.Applied
		r.persistMeta()
		p.required = true
		p.sentAt = time.Time{}
	}
	r.proposeJoiner(now)
}

func (r *Recorder) proposeJoiner(now time.Time) {
	p := r.peers[r.meta.Joiner]
	if p == nil || !r.meta.JoinerRequired || !p.complete || p.ackedSeq < r.joinerRequiredSeq {
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
