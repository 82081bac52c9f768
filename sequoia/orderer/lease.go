package orderer

import "time"

// lease is what this controller knows of the lease.
type lease struct {
	seen        LeaseObserved
	seenSince   time.Time
	held        bool
	fencing     uint64
	validUntil  time.Time
	quietUntil  time.Time
	nextRequest time.Time
}

func (o *Orderer) takeSeen(now time.Time, seen LeaseObserved) []Effect {
	if seen != o.lease.seen {
		o.lease.seen = seen
		o.lease.seenSince = now
	}
	if o.lease.held && seen.FencingToken > o.lease.fencing {
		return o.dropLease()
	}
	return nil
}

func (o *Orderer) takeLeaseReply(now time.Time, reply LeaseReply) []Effect {
	if !reply.Granted {
		if o.lease.held && reply.FencingToken > o.lease.fencing {
			return o.dropLease()
		}
		return nil
	}
	if reply.FencingToken < o.lease.fencing {
		return nil
	}
	if !o.lease.held || reply.FencingToken > o.lease.fencing {
		o.lease.quietUntil = now.Add(o.config.quietPeriod())
	}
	o.lease.held = true
	o.lease.fencing = reply.FencingToken
	o.extendLease(reply.SentAt.Add(o.config.LeaseDuration))
	return nil
}

// extendLease never shortens a lease: replies can arrive out of order.
func (o *Orderer) extendLease(until time.Time) {
	if until.After(o.lease.validUntil) {
		o.lease.validUntil = until
	}
}

func (o *Orderer) dropLease() []Effect {
	o.lease.held = false
	o.orders = map[string]order{}
	return []Effect{CancelAll{}}
}

// keepLease renews a held lease and takes over one that was not renewed for its whole duration.
func (o *Orderer) keepLease(now time.Time) []Effect {
	if o.lease.held && !now.Before(o.lease.validUntil) {
		return o.dropLease()
	}
	if now.Before(o.lease.nextRequest) {
		return nil
	}
	if o.lease.held {
		o.lease.nextRequest = now.Add(o.config.RenewInterval)
		return []Effect{Renew{FencingToken: o.lease.fencing}}
	}
	if o.lease.seenSince.IsZero() {
		o.lease.seenSince = now
	}
	if now.Sub(o.lease.seenSince) < o.config.LeaseDuration+o.config.TakeoverDelay {
		return nil
	}
	o.lease.nextRequest = now.Add(o.config.RenewInterval)
	return []Effect{Acquire{ExpectedFencingToken: o.lease.seen.FencingToken, ExpectedRenewals: o.lease.seen.Renewals}}
}

// mayStart reports whether an order to a pool can start now and end within the lease.
func (o *Orderer) mayStart(now time.Time, checksFencing bool) bool {
	if !o.lease.held || now.Add(o.config.SendTimeout).After(o.lease.validUntil) {
		return false
	}
	return checksFencing || !now.Before(o.lease.quietUntil)
}
