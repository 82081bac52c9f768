package replicator

import (
	"net/netip"
	"slices"
)

// cannotChange returns why no membership change can start now. One change runs at a time, and the leader must have
// committed an entry of its own term first: else it could miss a change of an earlier leader.
func (r *Replicator) cannotChange() *Error {
	if reason := r.cannotAppend(); reason != nil {
		return reason
	}
	if r.commit < r.lead.startIndex || r.membershipIndex > r.commit || r.membership.IsJoint() {
		return newError("change members", KindBusy, "another change is in progress")
	}
	return nil
}

func (r *Replicator) addLearner(m AddLearner) {
	reason := r.cannotChange()
	switch {
	case reason != nil:
	case m.ID == "" || !m.Address.IsValid():
		reason = newError("add learner", KindInvalidMember, "the member has no id or address")
	case r.membership.IsRetired(m.ID):
		reason = newError("add learner", KindRetired, "the member was replaced or removed")
	case r.membership.IsVoter(m.ID) || r.membership.IsLearner(m.ID):
		reason = newError("add learner", KindInvalidMember, "the member is known already")
	}
	if reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	next := r.membership.clone()
	for _, id := range r.membership.Learners {
		if id.VM() == m.ID.VM() {
			next.retire(id)
		}
	}
	next.Learners = append(next.Learners, m.ID)
	if next.Addresses == nil {
		next.Addresses = map[MemberID]netip.AddrPort{}
	}
	next.Addresses[m.ID] = m.Address
	r.appendMembership(m.Ref, next)
}

func (r *Replicator) replaceVoter(m ReplaceVoter) {
	reason := r.cannotPromote(m.Successor)
	if reason == nil && (!r.membership.IsVoter(m.Lost) || m.Lost == r.config.ID) {
		reason = newError("replace voter", KindInvalidMember, "the member to replace is not another voter")
	}
	if reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	next := r.joint(m.Successor)
	next.Voters = append(without(next.Voters, m.Lost), m.Successor)
	r.appendMembership(m.Ref, next)
}

func (r *Replicator) promoteLearner(m PromoteLearner) {
	if reason := r.cannotPromote(m.ID); reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	next := r.joint(m.ID)
	next.Voters = append(next.Voters, m.ID)
	r.appendMembership(m.Ref, next)
}

func (r *Replicator) removeMember(m RemoveMember) {
	reason := r.cannotChange()
	switch {
	case reason != nil:
	case m.ID == r.config.ID:
		reason = newError("remove member", KindInvalidMember, "a leader must hand over before it is removed")
	case !r.membership.IsVoter(m.ID) && !r.membership.IsLearner(m.ID):
		reason = newError("remove member", KindInvalidMember, "the member is not known")
	case len(r.membership.Voters) == 1 && r.membership.IsVoter(m.ID):
		reason = newError("remove member", KindInvalidMember, "the last voter cannot be removed")
	}
	if reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	next := r.membership.clone()
	if r.membership.IsVoter(m.ID) {
		next = r.joint("")
		next.Voters = without(next.Voters, m.ID)
	} else {
		next.retire(m.ID)
	}
	r.appendMembership(m.Ref, next)
}

// cannotPromote returns why a learner cannot become a voter now.
func (r *Replicator) cannotPromote(id MemberID) *Error {
	if reason := r.cannotChange(); reason != nil {
		return reason
	}
	if !r.membership.IsLearner(id) {
		return newError("promote learner", KindInvalidMember, "the member is not a learner")
	}
	peer := r.lead.peers[id]
	if peer.match < r.lead.startIndex || peer.match+caughtUpWithin < r.log.last() || !r.heardLately(id) {
		return newError("promote learner", KindNotCaughtUp, "the learner has not caught up")
	}
	return nil
}

// joint returns a membership in which the present voters stay as the old set.
func (r *Replicator) joint(promoted MemberID) Membership {
	next := r.membership.clone()
	next.OldVoters = slices.Clone(next.Voters)
	next.Learners = without(next.Learners, promoted)
	return next
}

func (r *Replicator) appendMembership(ref uint64, next Membership) {
	r.emit(Proposed{Ref: ref, Index: r.log.last() + 1, Term: r.term})
	r.appendLocal(Entry{Kind: EntryMembership, Membership: &next})
}

// leaveJoint ends a change: the old set no longer counts, and voters that are only in it are retired.
func (r *Replicator) leaveJoint() {
	next := r.membership.clone()
	old := next.OldVoters
	next.OldVoters = nil
	for _, id := range old {
		if !slices.Contains(next.Voters, id) {
			next.retire(id)
		}
	}
	r.appendLocal(Entry{Kind: EntryMembership, Membership: &next})
}
