package replicator

import (
	"net/netip"
	"slices"
)

// checkCanChange returns why no membership change can start now, or nil. One change runs at a time, and the leader must
// have committed an entry of its own term first; otherwise it could miss a change of an earlier leader.
func (r *Replicator) checkCanChange() *Error {
	if reason := r.checkCanAppend(); reason != nil {
		return reason
	}
	if r.commit < r.leaderState.termStartIndex || r.membershipIndex > r.commit || r.membership.IsJoint() {
		return newError("change members", KindBusy, "another change is in progress")
	}
	return nil
}

func (r *Replicator) addLearner(m AddLearner) {
	reason := r.checkCanChange()
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
	reason := r.checkCanPromote(m.Successor)
	if reason == nil && (!r.membership.IsVoter(m.Lost) || m.Lost == r.config.ID) {
		reason = newError("replace voter", KindInvalidMember, "the member to replace is not another voter")
	}
	if reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	next := r.jointMembership(m.Successor)
	next.Voters = append(removeID(next.Voters, m.Lost), m.Successor)
	r.appendMembership(m.Ref, next)
}

func (r *Replicator) promoteLearner(m PromoteLearner) {
	if reason := r.checkCanPromote(m.ID); reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	next := r.jointMembership(m.ID)
	next.Voters = append(next.Voters, m.ID)
	r.appendMembership(m.Ref, next)
}

func (r *Replicator) removeMember(m RemoveMember) {
	reason := r.checkCanChange()
	switch {
	case reason != nil:
	case m.ID == r.config.ID:
		reason = newError("remove member", KindInvalidMember, "a leader must transfer its leadership before it is removed")
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
		next = r.jointMembership("")
		next.Voters = removeID(next.Voters, m.ID)
	} else {
		next.retire(m.ID)
	}
	r.appendMembership(m.Ref, next)
}

// checkCanPromote returns why a learner cannot become a voter now, or nil.
func (r *Replicator) checkCanPromote(id MemberID) *Error {
	if reason := r.checkCanChange(); reason != nil {
		return reason
	}
	if !r.membership.IsLearner(id) {
		return newError("promote learner", KindInvalidMember, "the member is not a learner")
	}
	peer := r.leaderState.peers[id]
	if peer.matchIndex < r.leaderState.termStartIndex || peer.matchIndex+maxLearnerLag < r.log.lastIndex() || !r.recentlyActive(id) {
		return newError("promote learner", KindNotCaughtUp, "the learner has not caught up")
	}
	return nil
}

// jointMembership returns a membership that has the current voters as both the old and the new set, and promoted no
// longer among the learners.
func (r *Replicator) jointMembership(promoted MemberID) Membership {
	next := r.membership.clone()
	next.OldVoters = slices.Clone(next.Voters)
	next.Learners = removeID(next.Learners, promoted)
	return next
}

func (r *Replicator) appendMembership(ref uint64, next Membership) {
	r.emit(Proposed{Ref: ref, Index: r.log.lastIndex() + 1, Term: r.term})
	r.appendAsLeader(Entry{Kind: EntryMembership, Membership: &next})
}

// leaveJoint ends joint consensus: the old set is dropped, and voters that are only in it are retired.
func (r *Replicator) leaveJoint() {
	next := r.membership.clone()
	old := next.OldVoters
	next.OldVoters = nil
	for _, id := range old {
		if !slices.Contains(next.Voters, id) {
			next.retire(id)
		}
	}
	r.appendAsLeader(Entry{Kind: EntryMembership, Membership: &next})
}
