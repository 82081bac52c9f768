package promoter

// acquireLease grants the lease with a new fencing token. The state machine reads no clock: the sender has waited a
// lease duration by its own monotonic clock, and a renewal in the meantime changes the renewal count, so that the
// takeover is refused.
func (p *Promoter) acquireLease(a AcquireLease) Outcome {
	lease := p.state.Lease
	if a.Holder == "" {
		return Outcome{Result: ResultForbidden, Reason: "the holder has no name", Lease: &lease}
	}
	if a.ExpectedFencingToken != lease.FencingToken || a.ExpectedRenewals != lease.Renewals {
		return Outcome{Result: ResultStale, Reason: "the lease has changed since it was seen", Lease: &lease}
	}
	p.state.LastFencingToken++
	lease = Lease{Holder: a.Holder, FencingToken: p.state.LastFencingToken}
	p.state.Lease = lease
	return Outcome{Result: ResultAccepted, Lease: &lease}
}

func (p *Promoter) renewLease(r RenewLease) Outcome {
	lease := p.state.Lease
	if r.Holder != lease.Holder || r.FencingToken != lease.FencingToken || r.FencingToken == 0 {
		return Outcome{Result: ResultStale, Reason: "the lease is held under another fencing number", Lease: &lease}
	}
	lease.Renewals++
	p.state.Lease = lease
	return Outcome{Result: ResultAccepted, Lease: &lease}
}
