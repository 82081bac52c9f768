package replicator

// hearsLeader reports whether a leader was heard within the shortest election timeout. Votes are refused then, so
// that a member that was cut off cannot depose a leader that a majority still hears.
func (r *Replicator) hearsLeader() bool {
	if r.role == RoleLeader {
		return true
	}
	return r.leader != "" && r.elapsed-r.leaderSeen < r.config.ElectionTimeout
}

// follow enters a term as a follower. The vote of the same term is kept.
func (r *Replicator) follow(term uint64, leader MemberID) {
	if term > r.term {
		r.term = term
		r.vote = ""
		r.saveState()
	}
	r.lead = nil
	r.votes = nil
	r.setRole(RoleFollower, leader)
	r.resetDeadline()
}

func (r *Replicator) setRole(role Role, leader MemberID) {
	r.role = role
	r.leader = leader
	r.emit(RoleChanged{Role: role, Term: r.term, Leader: leader})
}

// campaign starts a pre-vote: the term rises only when a majority would vote for this member.
func (r *Replicator) campaign() {
	r.resetDeadline()
	if !r.membership.IsVoter(r.config.ID) {
		return
	}
	r.lead = nil
	r.setRole(RolePreCandidate, "")
	r.votes = map[MemberID]bool{r.config.ID: true}
	if r.membership.quorum(r.hasVote) {
		r.stand(false)
		return
	}
	r.requestVotes(VoteRequest{PreVote: true, Header: Header{Term: r.term + 1}})
}

// stand enters a new term with a vote for itself.
func (r *Replicator) stand(transfer bool) {
	r.term++
	r.vote = r.config.ID
	r.saveState()
	r.lead = nil
	r.setRole(RoleCandidate, "")
	r.resetDeadline()
	r.votes = map[MemberID]bool{r.config.ID: true}
	if r.membership.quorum(r.hasVote) {
		r.becomeLeader()
		return
	}
	r.requestVotes(VoteRequest{Transfer: transfer, Header: Header{Term: r.term}})
}

func (r *Replicator) requestVotes(request VoteRequest) {
	request.From = r.config.ID
	request.LastIndex = r.log.last()
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
	granted := r.wouldVote(m)
	if granted && !m.PreVote {
		r.vote = m.From
		r.saveState()
		r.resetDeadline()
	}
	reply := VoteReply{Header: r.header(m.From), PreVote: m.PreVote, Granted: granted}
	if granted && m.PreVote {
		reply.Term = m.Term
	}
	r.send(reply)
}

// wouldVote applies the rules of a vote. A member outside the membership that it knows has an empty or foreign log
// and gives none; a learner's vote counts only for a candidate whose log already makes it a voter.
func (r *Replicator) wouldVote(m VoteRequest) bool {
	if !r.membership.IsVoter(r.config.ID) && !r.membership.IsLearner(r.config.ID) {
		return false
	}
	if m.Term < r.term || !r.isUpToDate(m.LastIndex, m.LastTerm) {
		return false
	}
	if m.PreVote {
		return m.Term > r.term && !r.hearsLeader()
	}
	mayVote := r.role == RoleFollower || r.role == RolePreCandidate
	return mayVote && (r.vote == "" || r.vote == m.From)
}

func (r *Replicator) isUpToDate(index, term uint64) bool {
	last := r.log.lastTerm()
	return term > last || (term == last && index >= r.log.last())
}

func (r *Replicator) handleVoteReply(m VoteReply) {
	if !m.Granted {
		return
	}
	switch {
	case m.PreVote && r.role == RolePreCandidate && m.Term == r.term+1:
		r.votes[m.From] = true
		if r.membership.quorum(r.hasVote) {
			r.stand(false)
		}
	case !m.PreVote && r.role == RoleCandidate && m.Term == r.term:
		r.votes[m.From] = true
		if r.membership.quorum(r.hasVote) {
			r.becomeLeader()
		}
	}
}

func (r *Replicator) handleTransferNow(m TimeoutNow) {
	if m.Term == r.term && r.role == RoleFollower && m.From == r.leader && r.membership.IsVoter(r.config.ID) {
		r.stand(true)
	}
}
