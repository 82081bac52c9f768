package allotter

import "time"

const (
	// ReclaimRate is the rate in bytes per second at which a transfer gains no lag.
	ReclaimRate = 64 << 10
	// MinReclaimLag is the lag from which what a caller holds is taken back when others lack it.
	MinReclaimLag = time.Second
)

// SetReclaimable marks that the process has waited for the caller since a time. When others lack memory, the reservation may
// be reclaimed: it then counts no longer, and onReclaim is called, which must end the wait and must not block. It is called
// at most once, by the goroutine that needs the memory and without a lock of this package held. It may still run after
// SetBusy, though only if that reports that the reservation was reclaimed.
func (r *Reservation) SetReclaimable(since time.Time, onReclaim func()) {
	a := r.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.reclaimed {
		return
	}
	if onReclaim == nil {
		onReclaim = func() {}
	}
	r.setBusy()
	r.since, r.onReclaim = since, onReclaim
	r.transferred.Store(0)
	a.insert(r)
	if at := since.Add(MinReclaimLag); at.Before(a.noneBefore) {
		a.noneBefore = at
	}
}

// insert puts a reservation into the ring, which is ordered by the begin of the wait: the guard of connections marks them
// some time after that. The lock must be held.
func (a *Allotter) insert(r *Reservation) {
	before := a.reclaimable.previous
	for before != &a.reclaimable && before.since.After(r.since) {
		before = before.previous
	}
	r.previous, r.next = before, before.next
	before.next.previous, before.next = r, r
}

// SetBusy ends the time in which the reservation is reclaimable. It reports false if the reservation was reclaimed.
func (r *Reservation) SetBusy() bool {
	r.allotter.mu.Lock()
	defer r.allotter.mu.Unlock()
	r.setBusy()
	return !r.reclaimed
}

// Progress counts bytes that were transferred since the reservation became reclaimable. It gets no further ahead than
// MaxAhead.
func (r *Reservation) Progress(bytes int) {
	if r.transferred.Add(int64(bytes)) > bytesIn(MaxAhead) {
		r.limitAhead()
	}
}

// RestartLags restarts the lag of all reservations, after a pause of the process that no caller is to blame for.
func (a *Allotter) RestartLags(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := a.reclaimable.next; r != &a.reclaimable; r = r.next {
		r.since = now
		r.transferred.Store(0)
	}
}

// setBusy removes the reservation from the reclaimable ones. The lock must be held.
func (r *Reservation) setBusy() {
	if r.onReclaim == nil {
		return
	}
	r.previous.next, r.next.previous = r.next, r.previous
	r.next, r.previous, r.onReclaim = nil, nil, nil
}

func (r *Reservation) wasReclaimed() bool {
	r.allotter.mu.Lock()
	defer r.allotter.mu.Unlock()
	return r.reclaimed
}

// lag returns by how much the transfer is behind one at ReclaimRate.
func (r *Reservation) lag(now time.Time) time.Duration {
	return now.Sub(r.since) - time.Duration(float64(r.transferred.Load())/ReclaimRate*float64(time.Second))
}

// makeRoom reclaims reservations until another one can be raised, and reports whether it can. It returns the functions to
// call without the lock, which must be held. If reclaiming all candidates isn't enough, it reclaims none.
func (a *Allotter) makeRoom(r *Reservation, bytes int64) (calls []func(), fits bool) {
	if largeBytes(bytes) > a.share(min(largeShare, r.holder.share)) || bytes > a.config.Bytes {
		return nil, false
	}
	now := a.config.Now()
	for {
		lack := a.missing(r, bytes)
		if lack == (shortage{}) {
			return calls, true
		}
		victim := a.victim(now, r, lack)
		if victim == nil {
			return calls, false
		}
		call := victim.onReclaim
		victim.setBusy()
		a.set(victim, 0)
		victim.reclaimed = true
		if victim == r {
			return calls, false
		}
		calls = append(calls, call)
	}
}

// victim returns the reservation to reclaim next for the growth of another one: of those that help, the one with the
// largest lag of the holder that uses most. It returns nil if all candidates together don't suffice. The lock must be
// held.
func (a *Allotter) victim(now time.Time, r *Reservation, lack shortage) *Reservation {
	if now.Before(a.noneBefore) {
		return nil
	}
	var victim *Reservation
	var victimLag, largest time.Duration
	remaining := lack
	for c := a.reclaimable.next; c != &a.reclaimable; c = c.next {
		if waited := now.Sub(c.since); waited < MinReclaimLag {
			// The others have waited for less time.
			largest = max(largest, waited)
			break
		}
		lag := c.lag(now)
		largest = max(largest, lag)
		if lag < MinReclaimLag || c.bytes == 0 {
			continue
		}
		if c != r {
			remaining.subtract(c, r.holder)
		}
		if !lack.isHelpedBy(c, r.holder) {
			continue
		}
		if victim == nil || c.usage.bytes > victim.usage.bytes || c.usage.bytes == victim.usage.bytes && lag > victimLag {
			victim, victimLag = c, lag
		}
	}
	// No lag grows faster than time passes, so that the search need not be repeated before.
	a.noneBefore = now.Add(MinReclaimLag - largest)
	if remaining.total > 0 || remaining.large > 0 || remaining.holder > 0 {
		return nil
	}
	return victim
}

// subtract reduces the shortage of a holder's growth by what a reservation holds.
func (s *shortage) subtract(r *Reservation, holder Holder) {
	large := largeBytes(r.bytes)
	s.total -= r.bytes
	s.large -= large
	if r.holder == holder {
		s.holder -= large
	}
}

// isHelpedBy reports whether reclaiming a reservation helps against the narrowest shortage of a holder's growth. What helps
// against a narrow one also helps against the wider ones.
func (s shortage) isHelpedBy(r *Reservation, holder Holder) bool {
	switch {
	case s.holder > 0:
		return r.holder == holder && largeBytes(r.bytes) > 0
	case s.large > 0:
		return largeBytes(r.bytes) > 0
	default:
		return true
	}
}
