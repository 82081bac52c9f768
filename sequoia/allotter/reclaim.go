package allotter

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// reclaimRate is the rate in bytes per second at which a transfer gains no lag.
	reclaimRate = 64 << 10
	// minReclaimLag is the lag from which a reservation is reclaimed when others lack memory.
	minReclaimLag = time.Second
)

// SetReclaimable marks that the process waits for the caller from now on. When others lack memory, the reservation may be
// reclaimed: it then counts no longer, and onReclaim is called, which must end the wait and must not block. It is called at
// most once, by the goroutine that needs the memory and without a lock of this package held. It may still run after
// SetBusy, though only if that reports that the reservation was reclaimed.
func (r *Reservation) SetReclaimable(now time.Time, onReclaim func()) {
	a := r.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.reclaimed {
		return
	}
	if onReclaim == nil {
		onReclaim = func() {}
	}
	r.since = now
	r.transferred.Store(0)
	if r.onReclaim == nil {
		last := a.reclaimable.previous
		r.previous, r.next = last, &a.reclaimable
		last.next, a.reclaimable.previous = r, r
	}
	r.onReclaim = onReclaim
}

// SetBusy ends the time in which the reservation is reclaimable. It reports false if the reservation was reclaimed.
func (r *Reservation) SetBusy() bool {
	r.allotter.mu.Lock()
	defer r.allotter.mu.Unlock()
	r.setBusy()
	return !r.reclaimed
}

// Progress counts bytes that were transferred since the reservation became reclaimable.
func (r *Reservation) Progress(bytes int) {
	r.transferred.Add(int64(bytes))
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

// lag returns by how much the transfer is behind one at reclaimRate.
func (r *Reservation) lag(now time.Time) time.Duration {
	return now.Sub(r.since) - time.Duration(float64(r.transferred.Load())/reclaimRate*float64(time.Second))
}

// makeRoom reclaims reservations until another one can be raised, and reports whether it can. It returns the functions to
// call without the lock, which must be held. If reclaiming all candidates isn't enough, it reclaims none.
func (a *Allotter) makeRoom(r *Reservation, bytes int64) ([]func(), bool) {
	if largeBytes(bytes) > a.share(min(largeShare, r.holder.share)) || bytes > a.config.Bytes {
		return nil, false
	}
	now := a.config.Now()
	if now.Before(a.noneBefore) {
		return nil, false
	}
	candidates := a.candidates(now)
	if !suffices(candidates, r, a.missing(r, bytes)) {
		return nil, false
	}
	var calls []func()
	// Larger bodies of the holder help against each shortage, and larger bodies of others against the last two.
	for _, step := range []struct {
		lacks func(lack shortage) bool
		helps func(candidate *Reservation) bool
	}{
		{func(lack shortage) bool { return lack.holder > 0 }, func(c *Reservation) bool { return c.holder == r.holder && largeBytes(c.bytes) > 0 }},
		{func(lack shortage) bool { return lack.large > 0 }, func(c *Reservation) bool { return largeBytes(c.bytes) > 0 }},
		{func(lack shortage) bool { return lack.total > 0 }, func(*Reservation) bool { return true }},
	} {
		if !step.lacks(a.missing(r, bytes)) {
			continue
		}
		groups := a.group(candidates, step.helps)
		for step.lacks(a.missing(r, bytes)) && len(groups) > 0 {
			victim := groups.next(a)
			call := victim.onReclaim
			a.reclaim(victim)
			if victim == r {
				return calls, false
			}
			calls = append(calls, call)
		}
	}
	return calls, a.missing(r, bytes) == shortage{}
}

// reclaim takes the memory of a reservation. The lock must be held.
func (a *Allotter) reclaim(r *Reservation) {
	r.setBusy()
	a.set(r, 0)
	r.reclaimed = true
}

// candidate is a reservation that may be reclaimed.
type candidate struct {
	*Reservation
	lag time.Duration
}

// candidates returns the reservations that may be reclaimed, those with the largest lag first. The lock must be held.
func (a *Allotter) candidates(now time.Time) []candidate {
	var candidates []candidate
	var largest time.Duration
	for r := a.reclaimable.next; r != &a.reclaimable; r = r.next {
		lag := r.lag(now)
		largest = max(largest, lag)
		if lag >= minReclaimLag && r.bytes > 0 {
			candidates = append(candidates, candidate{Reservation: r, lag: lag})
		}
	}
	// No lag grows faster than time passes, so that the search need not be repeated before.
	a.noneBefore = now.Add(minReclaimLag - largest)
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.lag, x.lag) })
	return candidates
}

// suffices reports whether a growth fits once all candidates are reclaimed.
func suffices(candidates []candidate, r *Reservation, lack shortage) bool {
	for _, c := range candidates {
		if c.Reservation == r {
			continue
		}
		large := largeBytes(c.bytes)
		lack.total -= c.bytes
		lack.large -= large
		if c.holder == r.holder {
			lack.holder -= large
		}
	}
	return lack.total <= 0 && lack.large <= 0 && lack.holder <= 0
}

// group holds the candidates of one holder, those with the largest lag first, and what the holder uses.
type group struct {
	holder     Holder
	bytes      int64
	candidates []candidate
}

// groups is a heap of groups, that of the holder which uses most first.
type groups []*group

// group returns the candidates that help and are not reclaimed yet. The lock must be held.
func (a *Allotter) group(candidates []candidate, helps func(candidate *Reservation) bool) groups {
	byHolder := map[Holder]*group{}
	var all groups
	for _, c := range candidates {
		if c.reclaimed || !helps(c.Reservation) {
			continue
		}
		g, ok := byHolder[c.holder]
		if !ok {
			g = &group{holder: c.holder, bytes: a.holders[c.holder].bytes}
			byHolder[c.holder] = g
			all = append(all, g)
		}
		g.candidates = append(g.candidates, c)
	}
	heap.Init(&all)
	return all
}

// next removes and returns the candidate with the largest lag of the holder that uses most. The caller reclaims it.
func (all *groups) next(a *Allotter) *Reservation {
	first := (*all)[0]
	r := first.candidates[0].Reservation
	first.candidates = first.candidates[1:]
	first.bytes = a.holders[first.holder].bytes - r.bytes
	if len(first.candidates) == 0 {
		heap.Pop(all)
	} else {
		heap.Fix(all, 0)
	}
	return r
}

// Len returns the number of groups.
func (all groups) Len() int { return len(all) }

// Less orders by what the holders use, and by lag if that is equal.
func (all groups) Less(i, j int) bool {
	if all[i].bytes != all[j].bytes {
		return all[i].bytes > all[j].bytes
	}
	return all[i].candidates[0].lag > all[j].candidates[0].lag
}

// Swap exchanges two groups.
func (all groups) Swap(i, j int) { all[i], all[j] = all[j], all[i] }

// Push adds a group.
func (all *groups) Push(g any) { *all = append(*all, g.(*group)) }

// Pop removes the last group.
func (all *groups) Pop() any {
	last := (*all)[len(*all)-1]
	*all = (*all)[:len(*all)-1]
	return last
}
