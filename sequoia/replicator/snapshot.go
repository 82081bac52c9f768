package replicator

// askSnapshot asks for a snapshot once enough entries were applied since the last one.
func (r *Replicator) askSnapshot() {
	if r.applied-r.snapshotAsked < r.config.SnapshotThreshold {
		return
	}
	r.snapshotAsked = r.applied
	term, _ := r.log.term(r.applied)
	r.emit(TakeSnapshot{Index: r.applied, Term: term, Membership: r.appliedMembership.clone()})
}

// snapshotTaken stores a snapshot and drops the entries that no slightly lagging member needs.
func (r *Replicator) snapshotTaken(snapshot Snapshot) {
	if snapshot.Index <= r.log.snapshot.Index || snapshot.Index > r.applied {
		return
	}
	first := r.log.first
	if snapshot.Index > r.config.TrailingEntries {
		first = max(first, snapshot.Index+1-r.config.TrailingEntries)
	}
	r.log.compact(snapshot, first)
	r.emit(Save{State: r.hardState(), Snapshot: &snapshot, FirstIndex: first})
}

func (r *Replicator) handleInstallSnapshot(m InstallSnapshot) {
	if !r.accepts(m.Header) {
		return
	}
	snapshot := m.Snapshot
	if term, ok := r.log.term(snapshot.Index); snapshot.Index <= r.commit || (ok && term == snapshot.Term) {
		// The log already holds the state; entries after it may be acknowledged and must stay.
		r.commitTo(snapshot.Index)
	} else {
		r.install(snapshot)
	}
	r.send(AppendReply{Header: r.header(m.From), MatchIndex: snapshot.Index})
}

func (r *Replicator) install(snapshot Snapshot) {
	r.log.reset(snapshot)
	r.commit = snapshot.Index
	r.applied = snapshot.Index
	r.snapshotAsked = snapshot.Index
	r.appliedMembership = snapshot.Membership.clone()
	r.membership, r.membershipIndex = r.log.membership()
	r.emit(Save{State: r.hardState(), TruncateFrom: 1, Snapshot: &snapshot, FirstIndex: snapshot.Index + 1})
	r.emit(Restore{Snapshot: snapshot})
}
