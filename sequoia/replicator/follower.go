package replicator

func (r *Replicator) handleAppendRequest(m AppendRequest) {
	if !r.accepts(m.Header) {
		return
	}
	if m.HeartbeatOnly {
		r.send(AppendReply{Header: r.header(m.From), HeartbeatOnly: true})
		return
	}
	if m.PrevIndex < r.commit {
		m = r.skipCommitted(m)
	}
	if term, ok := r.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		r.rejectAppend(m)
		return
	}
	if !r.appendEntries(m) {
		return
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, match))
	r.send(AppendReply{Header: r.header(m.From), MatchIndex: match})
}

// accepts settles who leads the term of a leader's message, and answers a deposed leader with the newer term.
func (r *Replicator) accepts(head Header) bool {
	if head.Term < r.term {
		r.send(AppendReply{Header: r.header(head.From), Reject: true, RejectedIndex: 0, MatchIndex: 0, HeartbeatOnly: true})
		return false
	}
	if r.role == RoleLeader {
		r.halt(KindCorruptState, "two leaders in one term")
		return false
	}
	if r.role != RoleFollower || r.leader != head.From {
		r.follow(head.Term, head.From)
	}
	r.leaderSeen = r.elapsed
	r.resetDeadline()
	return true
}

// skipCommitted moves the start of a request up to the committed index: the log is equal up to there.
func (r *Replicator) skipCommitted(m AppendRequest) AppendRequest {
	skip := r.commit - m.PrevIndex
	if skip > uint64(len(m.Entries)) {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[skip:]
	}
	m.PrevIndex = r.commit
	m.PrevTerm, _ = r.log.term(r.commit)
	return m
}

// rejectAppend tells the leader the last index that may still be equal, skipping a whole conflicting term.
func (r *Replicator) rejectAppend(m AppendRequest) {
	hint := min(r.log.last(), m.PrevIndex-1)
	conflict, known := r.log.term(m.PrevIndex)
	for known && hint > r.commit {
		term, ok := r.log.term(hint)
		if !ok || term != conflict {
			break
		}
		hint--
	}
	r.send(AppendReply{Header: r.header(m.From), Reject: true, RejectedIndex: m.PrevIndex, MatchIndex: max(hint, r.commit)})
}

// appendEntries adds the entries that the log does not have yet. Entries that are equal stay untouched, so that a
// late or repeated request cannot cut off entries that were already acknowledged.
func (r *Replicator) appendEntries(m AppendRequest) bool {
	entries := m.Entries
	for len(entries) > 0 {
		term, ok := r.log.term(entries[0].Index)
		if !ok || term != entries[0].Term {
			break
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	if entries[0].Index <= r.commit {
		r.halt(KindLogDiffers, "a leader's entry differs from a committed one")
		return false
	}
	r.store(entries)
	return true
}

// store replaces the end of the log, durably.
func (r *Replicator) store(entries []Entry) {
	from := uint64(0)
	if entries[0].Index <= r.log.last() {
		from = entries[0].Index
	}
	r.log.replace(entries)
	r.membership, r.membershipIndex = r.log.membership()
	r.emit(Save{State: r.hardState(), TruncateFrom: from, Entries: entries})
}

// commitTo raises the committed index and hands over the entries.
func (r *Replicator) commitTo(index uint64) {
	if index > r.commit {
		r.commit = index
	}
	r.applyCommitted()
}

func (r *Replicator) applyCommitted() {
	if r.applied >= r.commit {
		return
	}
	entries := r.log.entries[r.applied+1-r.log.first : r.commit+1-r.log.first]
	for _, entry := range entries {
		if entry.Membership != nil {
			r.appliedMembership = entry.Membership.clone()
		}
	}
	r.applied = r.commit
	r.emit(Apply{Entries: append([]Entry(nil), entries...)})
	r.askSnapshot()
}
