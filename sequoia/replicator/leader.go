package replicator

import "time"

// leaderState is the volatile state of a leader.
type leaderState struct {
	// termStartIndex is the index of the first entry that this leader appended in its term.
	termStartIndex   uint64
	peers            map[MemberID]*progress
	nextHeartbeat    time.Duration
	nextQuorumCheck  time.Duration
	transferTarget   MemberID
	transferDeadline time.Duration
}

// progress is the replication state of another member, as its leader knows it.
type progress struct {
	matchIndex uint64
	nextIndex  uint64
	// probing is true until the member has accepted a request. While probing, nextIndex does not advance as entries are
	// sent; afterwards requests are pipelined.
	probing bool
	// snapshotRetryAt is set while a snapshot is in flight; the snapshot is sent again after that time.
	snapshotRetryAt time.Duration
	lastContact     time.Duration
}

func (r *Replicator) becomeLeader() {
	r.votes = nil
	r.leaderState = &leaderState{termStartIndex: r.log.lastIndex() + 1, peers: map[MemberID]*progress{}}
	r.leaderState.nextQuorumCheck = r.elapsed + r.config.ElectionTimeout
	r.setRole(RoleLeader, r.config.ID)
	r.syncProgress()
	r.appendAsLeader(Entry{Kind: EntryNoOp})
}

// syncProgress keeps one progress for each other member of the latest membership.
func (r *Replicator) syncProgress() {
	members := map[MemberID]bool{}
	for _, id := range r.membership.Members() {
		members[id] = true
		if r.leaderState.peers[id] == nil && id != r.config.ID {
			r.leaderState.peers[id] = &progress{nextIndex: r.log.lastIndex() + 1, probing: true, lastContact: r.elapsed}
		}
	}
	for id := range r.leaderState.peers {
		if !members[id] {
			delete(r.leaderState.peers, id)
		}
	}
}

// appendAsLeader appends an entry to the leader's own log and replicates it.
func (r *Replicator) appendAsLeader(entry Entry) {
	entry.Index = r.log.lastIndex() + 1
	entry.Term = r.term
	r.storeEntries([]Entry{entry})
	if entry.Membership != nil {
		r.syncProgress()
	}
	r.broadcast()
	r.advanceCommit()
}

func (r *Replicator) broadcast() {
	r.leaderState.nextHeartbeat = r.elapsed + r.config.HeartbeatInterval
	for _, id := range r.membership.Members() {
		if peer := r.leaderState.peers[id]; peer != nil {
			r.sendAppend(id, peer)
		}
	}
}

func (r *Replicator) sendAppend(id MemberID, peer *progress) {
	prevTerm, known := r.log.term(peer.nextIndex - 1)
	if !known {
		r.sendSnapshot(id, peer)
		return
	}
	entries := r.log.entriesFrom(peer.nextIndex, maxBatchEntries, maxBatchBytes)
	r.send(AppendRequest{
		Header: r.newHeader(id), PrevIndex: peer.nextIndex - 1, PrevTerm: prevTerm, Entries: entries, Commit: r.commit,
	})
	if !peer.probing {
		peer.nextIndex += uint64(len(entries))
	}
}

// sendSnapshot sends the snapshot, or a heartbeat without a log comparison while a snapshot is in flight.
func (r *Replicator) sendSnapshot(id MemberID, peer *progress) {
	if r.elapsed < peer.snapshotRetryAt {
		r.send(AppendRequest{Header: r.newHeader(id), HeartbeatOnly: true})
		return
	}
	peer.snapshotRetryAt = r.elapsed + 2*r.config.ElectionTimeout
	peer.probing = true
	r.send(InstallSnapshot{Header: r.newHeader(id), Snapshot: r.log.snapshot})
}

func (r *Replicator) handleAppendReply(m AppendReply) {
	if r.role != RoleLeader || m.Term != r.term {
		return
	}
	peer := r.leaderState.peers[m.From]
	if peer == nil {
		return
	}
	peer.lastContact = r.elapsed
	switch {
	case m.HeartbeatOnly:
	case m.Reject:
		r.handleRejection(m, peer)
	default:
		r.handleAcknowledgement(m, peer)
	}
}

// handleRejection moves nextIndex back, unless a later acknowledgement shows that the rejection is stale.
func (r *Replicator) handleRejection(m AppendReply, peer *progress) {
	if m.RejectedIndex <= peer.matchIndex || m.RejectedIndex >= peer.nextIndex {
		return
	}
	peer.nextIndex = max(peer.matchIndex+1, min(m.MatchIndex+1, m.RejectedIndex))
	peer.probing = true
	r.sendAppend(m.From, peer)
}

func (r *Replicator) handleAcknowledgement(m AppendReply, peer *progress) {
	peer.probing = false
	peer.snapshotRetryAt = 0
	peer.nextIndex = max(peer.nextIndex, m.MatchIndex+1)
	if m.MatchIndex > peer.matchIndex {
		peer.matchIndex = m.MatchIndex
		r.advanceCommit()
	}
	if r.role != RoleLeader {
		return
	}
	if peer.nextIndex <= r.log.lastIndex() {
		r.sendAppend(m.From, peer)
	}
	r.sendTimeoutNow()
}

// advanceCommit commits up to the highest entry of this term that is replicated on a quorum.
func (r *Replicator) advanceCommit() {
	for index := r.log.lastIndex(); index > r.commit; index-- {
		if term, _ := r.log.term(index); term != r.term {
			return
		}
		if r.membership.hasQuorum(func(id MemberID) bool { return r.isReplicatedOn(id, index) }) {
			r.commitTo(index)
			r.afterCommit()
			return
		}
	}
}

func (r *Replicator) isReplicatedOn(id MemberID, index uint64) bool {
	if id == r.config.ID {
		return r.log.lastIndex() >= index
	}
	peer := r.leaderState.peers[id]
	return peer != nil && peer.matchIndex >= index
}

// afterCommit sends the new commit index to the members, and leaves a joint membership once it is committed.
func (r *Replicator) afterCommit() {
	if r.membershipIndex > r.commit {
		r.broadcast()
		return
	}
	if r.membership.IsJoint() {
		r.leaveJoint()
		return
	}
	r.broadcast()
	if !r.membership.IsVoter(r.config.ID) {
		r.becomeFollower(r.term, "")
	}
}

// tickLeader sends heartbeats, and steps down when no quorum was in contact for an election timeout.
func (r *Replicator) tickLeader() {
	if r.elapsed >= r.leaderState.nextQuorumCheck {
		r.leaderState.nextQuorumCheck = r.elapsed + r.config.ElectionTimeout
		if !r.membership.hasQuorum(r.recentlyActive) {
			r.becomeFollower(r.term, "")
			return
		}
	}
	if r.leaderState.transferTarget != "" && r.elapsed >= r.leaderState.transferDeadline {
		r.leaderState.transferTarget = ""
	}
	if r.elapsed >= r.leaderState.nextHeartbeat {
		r.broadcast()
	}
}

func (r *Replicator) recentlyActive(id MemberID) bool {
	if id == r.config.ID {
		return true
	}
	peer := r.leaderState.peers[id]
	return peer != nil && r.elapsed-peer.lastContact <= r.config.ElectionTimeout
}

func (r *Replicator) propose(m Propose) {
	if reason := r.checkCanAppend(); reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	index := r.log.lastIndex() + 1
	r.emit(Proposed{Ref: m.Ref, Index: index, Term: r.term})
	r.appendAsLeader(Entry{Kind: EntryCommand, Data: m.Data})
}

func (r *Replicator) checkCanAppend() *Error {
	if r.role != RoleLeader {
		return newError("propose", KindNotLeader, "this member does not lead")
	}
	if r.leaderState.transferTarget != "" {
		return newError("propose", KindBusy, "leadership is being handed over")
	}
	return nil
}
