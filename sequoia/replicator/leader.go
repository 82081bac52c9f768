package replicator

import "time"

// leadership is the state of a leader.
type leadership struct {
	// startIndex is the index of the first entry of this leadership.
	startIndex    uint64
	peers         map[MemberID]*progress
	nextHeartbeat time.Duration
	nextCheck     time.Duration
	transferTo    MemberID
	transferEnd   time.Duration
}

// progress is what a leader knows of another member's log.
type progress struct {
	match uint64
	next  uint64
	// probing is true until a request was accepted; then one request is outstanding at a time.
	probing bool
	// snapshotUntil is set while a snapshot is on its way; it is sent again after that.
	snapshotUntil time.Duration
	seen          time.Duration
}

func (r *Replicator) becomeLeader() {
	r.votes = nil
	r.lead = &leadership{startIndex: r.log.last() + 1, peers: map[MemberID]*progress{}}
	r.lead.nextCheck = r.elapsed + r.config.ElectionTimeout
	r.setRole(RoleLeader, r.config.ID)
	r.syncPeers()
	r.appendLocal(Entry{Kind: EntryNoOp})
}

// syncPeers keeps one progress for each other member of the latest membership.
func (r *Replicator) syncPeers() {
	members := map[MemberID]bool{}
	for _, id := range r.membership.Members() {
		members[id] = true
		if r.lead.peers[id] == nil && id != r.config.ID {
			r.lead.peers[id] = &progress{next: r.log.last() + 1, probing: true, seen: r.elapsed}
		}
	}
	for id := range r.lead.peers {
		if !members[id] {
			delete(r.lead.peers, id)
		}
	}
}

// appendLocal adds an entry to the leader's own log and sends it.
func (r *Replicator) appendLocal(entry Entry) {
	entry.Index = r.log.last() + 1
	entry.Term = r.term
	r.store([]Entry{entry})
	if entry.Membership != nil {
		r.syncPeers()
	}
	r.broadcast()
	r.advanceCommit()
}

func (r *Replicator) broadcast() {
	r.lead.nextHeartbeat = r.elapsed + r.config.HeartbeatInterval
	for _, id := range r.membership.Members() {
		if peer := r.lead.peers[id]; peer != nil {
			r.sendAppend(id, peer)
		}
	}
}

func (r *Replicator) sendAppend(id MemberID, peer *progress) {
	prevTerm, known := r.log.term(peer.next - 1)
	if !known {
		r.sendSnapshot(id, peer)
		return
	}
	entries := r.log.slice(peer.next, maxBatch, maxBatchBytes)
	r.send(AppendRequest{
		Header: r.header(id), PrevIndex: peer.next - 1, PrevTerm: prevTerm, Entries: entries, Commit: r.commit,
	})
	if !peer.probing {
		peer.next += uint64(len(entries))
	}
}

// sendSnapshot sends the snapshot, or only a sign of life while one is on its way.
func (r *Replicator) sendSnapshot(id MemberID, peer *progress) {
	if r.elapsed < peer.snapshotUntil {
		r.send(AppendRequest{Header: r.header(id), HeartbeatOnly: true})
		return
	}
	peer.snapshotUntil = r.elapsed + 2*r.config.ElectionTimeout
	peer.probing = true
	r.send(InstallSnapshot{Header: r.header(id), Snapshot: r.log.snapshot})
}

func (r *Replicator) handleAppendReply(m AppendReply) {
	if r.role != RoleLeader || m.Term != r.term {
		return
	}
	peer := r.lead.peers[m.From]
	if peer == nil {
		return
	}
	peer.seen = r.elapsed
	switch {
	case m.HeartbeatOnly:
	case m.Reject:
		r.backUp(m, peer)
	default:
		r.acknowledge(m, peer)
	}
}

// backUp follows a rejection, unless a later acknowledgement shows that it is out of date.
func (r *Replicator) backUp(m AppendReply, peer *progress) {
	if m.RejectedIndex <= peer.match || m.RejectedIndex >= peer.next {
		return
	}
	peer.next = max(peer.match+1, min(m.MatchIndex+1, m.RejectedIndex))
	peer.probing = true
	r.sendAppend(m.From, peer)
}

func (r *Replicator) acknowledge(m AppendReply, peer *progress) {
	peer.probing = false
	peer.snapshotUntil = 0
	peer.next = max(peer.next, m.MatchIndex+1)
	if m.MatchIndex > peer.match {
		peer.match = m.MatchIndex
		r.advanceCommit()
	}
	if r.role != RoleLeader {
		return
	}
	if peer.next <= r.log.last() {
		r.sendAppend(m.From, peer)
	}
	r.finishTransfer()
}

// advanceCommit commits the highest entry of this term that a quorum has.
func (r *Replicator) advanceCommit() {
	for index := r.log.last(); index > r.commit; index-- {
		if term, _ := r.log.term(index); term != r.term {
			return
		}
		if r.membership.quorum(func(id MemberID) bool { return r.matches(id, index) }) {
			r.commitTo(index)
			r.afterCommit()
			return
		}
	}
}

func (r *Replicator) matches(id MemberID, index uint64) bool {
	if id == r.config.ID {
		return r.log.last() >= index
	}
	peer := r.lead.peers[id]
	return peer != nil && peer.match >= index
}

// afterCommit tells the members of the new commit, and ends a change of the voters that is committed.
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
		r.follow(r.term, "")
	}
}

// tickLeader sends heartbeats, and steps down when no quorum was heard for an election timeout.
func (r *Replicator) tickLeader() {
	if r.elapsed >= r.lead.nextCheck {
		r.lead.nextCheck = r.elapsed + r.config.ElectionTimeout
		if !r.membership.quorum(r.heardLately) {
			r.follow(r.term, "")
			return
		}
	}
	if r.lead.transferTo != "" && r.elapsed >= r.lead.transferEnd {
		r.lead.transferTo = ""
	}
	if r.elapsed >= r.lead.nextHeartbeat {
		r.broadcast()
	}
}

func (r *Replicator) heardLately(id MemberID) bool {
	if id == r.config.ID {
		return true
	}
	peer := r.lead.peers[id]
	return peer != nil && r.elapsed-peer.seen <= r.config.ElectionTimeout
}

func (r *Replicator) propose(m Propose) {
	if reason := r.cannotAppend(); reason != nil {
		r.emit(Refused{Ref: m.Ref, Reason: reason})
		return
	}
	index := r.log.last() + 1
	r.emit(Proposed{Ref: m.Ref, Index: index, Term: r.term})
	r.appendLocal(Entry{Kind: EntryCommand, Data: m.Data})
}

func (r *Replicator) cannotAppend() *Error {
	if r.role != RoleLeader {
		return newError("propose", KindNotLeader, "this member does not lead")
	}
	if r.lead.transferTo != "" {
		return newError("propose", KindBusy, "leadership is being handed over")
	}
	return nil
}
