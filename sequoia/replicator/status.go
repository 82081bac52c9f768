package replicator

import "time"

// Status is what a member knows of the agreement.
type Status struct {
	ID         MemberID
	Role       Role
	Term       uint64
	Leader     MemberID
	LastIndex  uint64
	Commit     uint64
	Applied    uint64
	Membership Membership
	// Match is, on a leader, the last index that each other member is known to have.
	MatchIndex map[MemberID]uint64
	// Silent is, on a leader, how long ago each other member was heard.
	SinceContact map[MemberID]time.Duration
}

// Status returns the state of the member for display and for decisions on membership.
func (r *Replicator) Status() Status {
	status := Status{
		ID: r.config.ID, Role: r.role, Term: r.term, Leader: r.leader, LastIndex: r.log.last(),
		Commit: r.commit, Applied: r.applied, Membership: r.membership.clone(),
	}
	if r.lead != nil {
		status.MatchIndex = map[MemberID]uint64{}
		status.SinceContact = map[MemberID]time.Duration{}
		for id, peer := range r.lead.peers {
			status.MatchIndex[id] = peer.match
			status.SinceContact[id] = r.elapsed - peer.seen
		}
	}
	return status
}
