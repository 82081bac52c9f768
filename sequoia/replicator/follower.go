package replicator

func (r *Replicator) handleAppendRequest(m AppendRequest) {
	if !r.acceptLeader(m.Header) {
		return
	}
	if m.HeartbeatOnly {
		r.send(AppendReply{Header: r.newHeader(m.From), HeartbeatOnly: true})
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
	r.send(AppendReply{Header: r.newHeader(m.From), MatchIndex: match})
}

// acceptLeader follows the sender of a leader's message and resets the election timer. A deposed leader gets a reply
// with the newer term instead.
func (r *Replicator) acceptLeader(header Header) bool {
	if header.Term < r.term {
		r.send(AppendReply{Header: r.newHeader(header.From), Reject: true, RejectedIndex: 0, MatchIndex: 0, HeartbeatOnly: true})
		return false
	}
	if r.role == RoleLeader {
		r.halt(KindCorruptState, "two leaders in one term")
		return false
	}
	if r.role != RoleFollower || r.leader != header.From {
		r.becomeFollower(header.Term, header.From)
	}
	r.lastLeaderContact = r.elapsed
	r.resetElectionTimer()
	return true
}

// skipCommitted moves the start of a request up to the commit index: committed entries equal those of the leader.
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

// rejectAppend sends the leader the last index at which the logs may still match, skipping the whole conflicting term.
func (r *Replicator) rejectAppend(m AppendRequest) {
	hint := min(r.log.lastIndex(), m.PrevIndex-1)
	conflictTerm, known := r.log.term(m.PrevIndex)
	for known && hint > r.commit {
		term, ok := r.log.term(hint)
		if !ok || term != conflictTerm {
			break
		}
		hint--
	}
	r.send(AppendReply{Header: r.newHeader(m.From), Reject: true, RejectedIndex: m.PrevIndex, MatchIndex: max(hint, r.commit)})
}

// appendEntries appends the entries that are not in the log yet. Matching entries stay in place, so that a late or
// repeated request cannot truncate entries that were already acknowledged.
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
	r.storeEntries(entries)
	return true
}

// storeEntries replaces the tail of the log and emits the durable write.
func (r *Replicator) storeEntries(entries []Entry) {
	truncateFrom := uint64(0)
	if entries[0].Index <= r.log.lastIndex() {
		truncateFrom = entries[0].Index
	}
	r.log.truncateAndAppend(entries)
	r.membership, r.membershipIndex = r.log.membership()
	r.emit(Save{State: r.hardState(), TruncateFrom: truncateFrom, Entries: entries})
}

// commitTo raises the commit index and emits the newly committed entries for the state machine.
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
	entries := r.log.entries[r.applied+1-r.log.firstIndex : r.commit+1-r.log.firstIndex]
	for _, entry := range entries {
		if entry.Membership != nil {
			r.appliedMembership = entry.Membership.clone()
		}
	}
	r.applied = r.commit
	r.emit(Apply{Entries: append([]Entry(nil), entries...)})
	r.requestSnapshotIfDue()
}
