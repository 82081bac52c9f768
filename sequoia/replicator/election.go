package replicator

// hasLeaderContact reports whether a leader was in contact within the shortest election timeout. Votes are refused
// then, so that a member that was partitioned cannot depose a leader that still reaches a majority.
func (r *Replicator) hasLeaderContact() bool {
	if r.role == RoleLeader {
		return true
	}
	return r.leader != "" && r.elapsed-r.lastLeaderContact < r.config.ElectionTimeout
}

// becomeFollower enters a term as a follower; a vote already cast in the same term is kept.
func (r *Replicator) becomeFollower(term uint64, leader MemberID) {
	if term > r.term {
		r.term = term
		r.vote = ""
		r.saveState()
	}
	r.leaderState = nil
	r.votes = nil
	r.setRole(RoleFollower, leader)
	r.resetElectionTimer()
}

func (r *Replicator) setRole(role Role, leader MemberID) {
	r.role = role
	r.leader = leader
	r.emit(RoleChanged{Role: role, Term: r.term, Leader: leader})
}

// startPreVote starts a pre-vote round: the term is raised only if a majority would vote for this member.
func (r *Replicator) startPreVote() {
	r.resetElectionTimer()
	if !r.membership.IsVoter(r.config.ID) {
		return
	}
	r.leaderState = nil
	r.setRole(RolePreCandidate, "")
	r.votes = map[MemberID]bool{r.config.ID: true}
	if r.membership.hasQuorum(r.hasVote) {
		r.startElection(false)
		return
	}
	r.requestVotes(VoteRequest{PreVote: true, Header: Header{Term: r.term + 1}})
}

// startElection enters a new term as a candidate that votes for itself.
func (r *Replicator) startElection(transfer bool) {
	r.term++
	r.vote = r.config.ID
	r.saveState()
	r.leaderState = nil
	r.setRole(RoleCandidate, "")
	r.resetElectionTimer()
	r.votes = map[MemberID]bool{r.config.ID: true}
	if r.membership.hasQuorum(r.hasVote) {
		r.becomeLeader()
		return
	}
	r.requestVotes(VoteRequest{Transfer: transfer, Header: Header{Term: r.term}})
}

func (r *Replicator) requestVotes(request VoteRequest) {
	request.From = r.config.ID
	request.LastIndex = r.log.lastIndex()
	request.LastTerm = r.log.lastTerm()
	for _, id := range r.membership.Members() {
		if id != r.config.ID && r.membership.IsVoter(id) {
			request.To = id
			r.send(request)
		}
	}
}

func (r *Replicator) hasVote(id MemberID) bool {
	return r.votes[id]
}

func (r *Replicator) handleVoteRequest(m VoteRequest) {
	granted := r.shouldGrantVote(m)
	if granted && !m.PreVote {
		r.vote = m.From
		r.saveState()
		r.resetElectionTimer()
	}
	reply := VoteReply{Header: r.newHeader(m.From), PreVote: m.PreVote, Granted: granted}
	if granted && m.PreVote {
		reply.Term = m.Term
	}
	r.send(reply)
}

// shouldGrantVote applies the voting rules. A member outside its own membership has an empty or unrelated log and does
// not vote. A learner votes, because the candidate's log may already make it a voter; its vote counts only then.
func (r *Replicator) shouldGrantVote(m VoteRequest) bool {
	if !r.membership.IsVoter(r.config.ID) && !r.membership.IsLearner(r.config.ID) {
		return false
	}
	if m.Term < r.term || !r.isLogUpToDate(m.LastIndex, m.LastTerm) {
		return false
	}
	if m.PreVote {
		return m.Term > r.term && !r.hasLeaderContact()
	}
	mayVote := r.role == RoleFollower || r.role == RolePreCandidate
	return mayVote && (r.vote == "" || r.vote == m.From)
}

func (r *Replicator) isLogUpToDate(index, term uint64) bool {
	lastTerm := r.log.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= r.log.lastIndex())
}

func (r *Replicator) handleVoteReply(m VoteReply) {
	if !m.Granted {
		return
	}
	switch {
	case m.PreVote && r.role == RolePreCandidate && m.Term == r.term+1:
		r.votes[m.From] = true
		if r.membership.hasQuorum(r.hasVote) {
			r.startElection(false)
		}
	case !m.PreVote && r.role == RoleCandidate && m.Term == r.term:
		r.votes[m.From] = true
		if r.membership.hasQuorum(r.hasVote) {
			r.becomeLeader()
		}
	}
}

func (r *Replicator) handleTimeoutNow(m TimeoutNow) {
	if m.Term == r.term && r.role == RoleFollower && m.From == r.leader && r.membership.IsVoter(r.config.ID) {
		r.startElection(true)
	}
}
