package dispatcher

import "time"

const (
	// leavingAgeUnit is the unit of the age in load updates. It is long, so that a load update rarely changes by the age
	// alone.
	leavingAgeUnit = time.Second
	// maxLeavingAge is the largest age that a report can give; an older notice is reported with it.
	maxLeavingAge = int(24 * time.Hour / leavingAgeUnit)
	// leavingMemory is how long a notice is kept after the list no longer names its upstream.
	leavingMemory = time.Minute
	// returnDelay is how long the list must name an upstream as ready again before that counts as another incarnation;
	// two readings of the list may be of different age.
	returnDelay = 2 * time.Second
)

// leavingNotice is the statement of an upstream that it is leaving. It outweighs the list, which lags behind and may not
// be readable, and binds until the list names another incarnation with the same ID.
type leavingNotice struct {
	statedAt time.Time
	// listed is set once the list shows that the upstream is leaving or gone.
	listed bool
	// returnedAt is when the list named the upstream as ready after that, or zero.
	returnedAt time.Time
	// lastNamed is when the list last named the upstream.
	lastNamed time.Time
}

// LeavingReports holds for upstreams that stated that they are leaving the time since then, in units of leavingAgeUnit.
type LeavingReports map[UpstreamKey]int

// RecordLeaving records that an upstream stated in an answer to this VM that it is leaving, and reports whether that is
// new.
func (d *Dispatcher) RecordLeaving(now time.Time, id string) bool {
	u, ok := d.upstreams[id]
	return ok && d.noteLeaving(now, u, now)
}

// UpdateLeaving applies the reports of another entry VM of the region, and returns the IDs of the upstreams that are new
// in them.
func (d *Dispatcher) UpdateLeaving(now time.Time, reports LeavingReports) []string {
	if len(reports) == 0 {
		return nil
	}
	var changed []string
	for id, u := range d.upstreams {
		age, ok := reports[u.key]
		if ok && age >= 0 && age <= maxLeavingAge && d.noteLeaving(now, u, now.Add(-time.Duration(age)*leavingAgeUnit)) {
			changed = append(changed, id)
		}
	}
	return changed
}

// LocalLeaving returns the upstreams of the list that stated to any VM of the region that they are leaving. VMs repeat
// what they heard from others, so that a restarted VM learns of it from each of them.
func (d *Dispatcher) LocalLeaving(now time.Time) LeavingReports {
	var reports LeavingReports
	for id, notice := range d.leaving {
		u, ok := d.upstreams[id]
		if !ok || !notice.binds(now) {
			continue
		}
		if reports == nil {
			reports = LeavingReports{}
		}
		// The age is rounded up: a notice must not seem to come from the next incarnation.
		age := int((now.Sub(notice.statedAt) + leavingAgeUnit - 1) / leavingAgeUnit)
		reports[u.key] = min(age, maxLeavingAge)
	}
	return reports
}

// noteLeaving adds a notice, unless it is older than the incarnation that the list names.
func (d *Dispatcher) noteLeaving(now time.Time, u *upstreamState, statedAt time.Time) bool {
	known := d.leaving[u.ID]
	if known != nil && (known.returnedAt.IsZero() || !statedAt.After(known.returnedAt)) {
		return false
	}
	d.leaving[u.ID] = &leavingNotice{statedAt: statedAt, listed: u.Leaving, lastNamed: now}
	return known == nil || !known.binds(now)
}

func (d *Dispatcher) isLeaving(now time.Time, u *upstreamState) bool {
	notice, ok := d.leaving[u.ID]
	return u.Leaving || ok && notice.binds(now)
}

// compareLeaving compares the notices with a new list, which is already in force.
func (d *Dispatcher) compareLeaving(now time.Time) {
	for id, notice := range d.leaving {
		u, ok := d.upstreams[id]
		switch {
		case ok:
			notice.lastNamed = now
			notice.compare(now, u.Leaving)
		case now.Sub(notice.lastNamed) > leavingMemory:
			delete(d.leaving, id)
		default:
			notice.listed = true
		}
	}
}

// compare compares the notice with the entry of its upstream in a new list.
func (n *leavingNotice) compare(now time.Time, listedAsLeaving bool) {
	switch {
	case listedAsLeaving:
		n.listed, n.returnedAt = true, time.Time{}
	case n.listed && n.returnedAt.IsZero():
		n.returnedAt = now
	}
}

// binds reports whether the upstream that stated it still has its address.
func (n *leavingNotice) binds(now time.Time) bool {
	return n.returnedAt.IsZero() || now.Sub(n.returnedAt) < returnDelay
}
