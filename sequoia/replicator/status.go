package replicator

import "time"

// Status is the state of the consensus group as one member sees it.
type Status struct {
	ID         MemberID
	Role       Role
	Term       uint64
	Leader     MemberID
	LastIndex  uint64
	Commit     uint64
	Applied    uint64
	Membership Membership
	// MatchIndex is, on a leader, the last index known to be replicated on each other member.
	MatchIndex map[MemberID]uint64
	// SinceContact is, on a leader, the time since the last message of each other member.
	SinceContact map[MemberID]time.Duration
	// Elapsed is the time of the member's clock since its start, as of its last input.
	Elapsed time.Duration
}

// Status returns the state of the member, for display and for membership decisions.
func (r *Replicator) Status() Status {
	status := Status{
		ID: r.config.ID, Role: r.role, Term: r.term, Leader: r.leader, LastIndex: r.log.lastIndex(),
		Commit: r.commit, Applied: r.applied, Membership: r.membership.clone(), Elapsed: r.elapsed,
	}
	if r.leaderState != nil {
		status.MatchIndex = map[MemberID]uint64{}
		status.SinceContact = map[MemberID]time.Duration{}
		for id, peer := range r.leaderState.peers {
			status.MatchIndex[id] = peer.matchIndex
			status.SinceContact[id] = r.elapsed - peer.lastContact
		}
	}
	return status
}

// LeadsWithContact reports whether the member leads and has had contact with a majority of the voters within a time.
func (s Status) LeadsWithContact(within time.Duration) bool {
	return s.Role == RoleLeader && s.Membership.hasQuorum(func(id MemberID) bool {
		since, known := s.SinceContact[id]
		return id == s.ID || known && since <= within
	})
}
