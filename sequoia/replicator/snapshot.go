package replicator

// requestSnapshotIfDue requests a snapshot once enough entries were applied since the last one.
func (r *Replicator) requestSnapshotIfDue() {
	if r.applied-r.snapshotRequestedIndex < r.config.SnapshotThreshold {
		return
	}
	r.snapshotRequestedIndex = r.applied
	term, _ := r.log.term(r.applied)
	r.emit(TakeSnapshot{Index: r.applied, Term: term, Membership: r.appliedMembership.clone()})
}

// handleSnapshotTaken stores a snapshot and compacts the log, except for the trailing entries.
func (r *Replicator) handleSnapshotTaken(snapshot Snapshot) {
	if snapshot.Index <= r.log.snapshot.Index || snapshot.Index > r.applied {
		return
	}
	firstIndex := r.log.firstIndex
	if snapshot.Index > r.config.TrailingEntries {
		firstIndex = max(firstIndex, snapshot.Index+1-r.config.TrailingEntries)
	}
	r.log.compact(snapshot, firstIndex)
	r.emit(Save{State: r.hardState(), Snapshot: &snapshot, FirstIndex: firstIndex})
}

func (r *Replicator) handleInstallSnapshot(m InstallSnapshot) {
	if !r.acceptLeader(m.Header) {
		return
	}
	snapshot := m.Snapshot
	if term, ok := r.log.term(snapshot.Index); snapshot.Index <= r.commit || (ok && term == snapshot.Term) {
		// The log already covers the snapshot; entries after it may be acknowledged and must stay.
		r.commitTo(snapshot.Index)
	} else {
		r.installSnapshot(snapshot)
	}
	r.send(AppendReply{Header: r.newHeader(m.From), MatchIndex: snapshot.Index})
}

func (r *Replicator) installSnapshot(snapshot Snapshot) {
	r.log.reset(snapshot)
	r.commit = snapshot.Index
	r.applied = snapshot.Index
	r.snapshotRequestedIndex = snapshot.Index
	r.appliedMembership = snapshot.Membership.clone()
	r.membership, r.membershipIndex = r.log.membership()
	r.emit(Save{State: r.hardState(), TruncateFrom: 1, Snapshot: &snapshot, FirstIndex: snapshot.Index + 1})
	r.emit(Restore{Snapshot: snapshot})
}
