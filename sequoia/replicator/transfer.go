package replicator

// startTransfer selects the active voter with the highest match index. Proposals are refused until that voter leads or
// an election timeout has passed.
func (r *Replicator) startTransfer() {
	if r.role != RoleLeader || r.leaderState.transferTarget != "" {
		return
	}
	var target MemberID
	for _, id := range r.membership.Voters {
		peer := r.leaderState.peers[id]
		if peer == nil || !r.recentlyActive(id) {
			continue
		}
		if target == "" || peer.matchIndex > r.leaderState.peers[target].matchIndex {
			target = id
		}
	}
	if target == "" {
		return
	}
	r.leaderState.transferTarget = target
	r.leaderState.transferDeadline = r.elapsed + r.config.ElectionTimeout
	r.sendTimeoutNow()
}

// sendTimeoutNow tells the transfer target to start an election once it has the complete log.
func (r *Replicator) sendTimeoutNow() {
	target := r.leaderState.transferTarget
	if target == "" {
		return
	}
	if peer := r.leaderState.peers[target]; peer != nil && peer.matchIndex == r.log.lastIndex() {
		r.send(TimeoutNow{Header: r.newHeader(target)})
	}
}
