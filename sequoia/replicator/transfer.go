package replicator

// startTransfer picks the voter that is furthest in the log and stops taking proposals until it leads or an
// election timeout has passed.
func (r *Replicator) startTransfer() {
	if r.role != RoleLeader || r.lead.transferTo != "" {
		return
	}
	var best MemberID
	for _, id := range r.membership.Voters {
		peer := r.lead.peers[id]
		if peer == nil || !r.heardLately(id) {
			continue
		}
		if best == "" || peer.match > r.lead.peers[best].match {
			best = id
		}
	}
	if best == "" {
		return
	}
	r.lead.transferTo = best
	r.lead.transferEnd = r.elapsed + r.config.ElectionTimeout
	r.finishTransfer()
}

// finishTransfer tells the chosen voter to stand once it has the whole log.
func (r *Replicator) finishTransfer() {
	target := r.lead.transferTo
	if target == "" {
		return
	}
	if peer := r.lead.peers[target]; peer != nil && peer.match == r.log.last() {
		r.send(TimeoutNow{Header: r.header(target)})
	}
}
