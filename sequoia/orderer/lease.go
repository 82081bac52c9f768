package orderer

import "time"

// lease is this controller's knowledge of the lease.
type lease struct {
	observed           LeaseObserved
	observedSince      time.Time
	held               bool
	token              uint64
	validUntil         time.Time
	previousLeaseUntil time.Time
	nextRequest        time.Time
}

func (o *Orderer) handleLeaseObserved(now time.Time, observed LeaseObserved) []Effect {
	if observed != o.lease.observed {
		o.lease.observed = observed
		o.lease.observedSince = now
	}
	if o.lease.held && observed.FencingToken > o.lease.token {
		return o.dropLease()
	}
	return nil
}

func (o *Orderer) handleLeaseReply(now time.Time, reply LeaseReply) []Effect {
	if !reply.Granted {
		if o.lease.held && reply.FencingToken > o.lease.token {
			return o.dropLease()
		}
		return nil
	}
	if reply.FencingToken < o.lease.token {
		return nil
	}
	if !o.lease.held || reply.FencingToken > o.lease.token {
		o.lease.previousLeaseUntil = now.Add(o.config.previousLeaseWait())
	}
	o.lease.held = true
	o.lease.token = reply.FencingToken
	o.extendLease(reply.SentAt.Add(o.config.LeaseDuration))
	return nil
}

// extendLease never shortens a lease, because replies can arrive out of order.
func (o *Orderer) extendLease(until time.Time) {
	if until.After(o.lease.validUntil) {
		o.lease.validUntil = until
	}
}

func (o *Orderer) dropLease() []Effect {
	o.lease.held = false
	o.inFlight = map[string]inFlightOrder{}
	return []Effect{CancelAll{}}
}

// renewOrAcquireLease renews a held lease, and takes over one that was not renewed for its whole duration.
func (o *Orderer) renewOrAcquireLease(now time.Time) []Effect {
	if o.lease.held && !now.Before(o.lease.validUntil) {
		return o.dropLease()
	}
	if now.Before(o.lease.nextRequest) {
		return nil
	}
	if o.lease.held {
		o.lease.nextRequest = now.Add(o.config.RenewInterval)
		return []Effect{Renew{FencingToken: o.lease.token}}
	}
	if o.lease.observedSince.IsZero() {
		o.lease.observedSince = now
	}
	if now.Sub(o.lease.observedSince) < o.config.LeaseDuration+o.config.TakeoverDelay {
		return nil
	}
	o.lease.nextRequest = now.Add(o.config.RenewInterval)
	return []Effect{Acquire{ExpectedFencingToken: o.lease.observed.FencingToken, ExpectedRenewals: o.lease.observed.Renewals}}
}

// canSend reports whether an order that is sent now must end within the lease, and after every order of the previous
// holder if the upstream does not check fencing tokens.
func (o *Orderer) canSend(now time.Time, checksFencingToken bool) bool {
	if !o.lease.held || now.Add(o.config.SendTimeout).After(o.lease.validUntil) {
		return false
	}
	return checksFencingToken || !now.Before(o.lease.previousLeaseUntil)
}
