package dispatcher

import "time"

const (
	// maxDowntime is the time after which an upstream that crashed is back or no longer in the list.
	maxDowntime = 10 * time.Second
	// restartAgeUnit is the unit of the age in load updates.
	restartAgeUnit = 100 * time.Millisecond
	// maxRestartAge is the largest age that a report can give, in units of restartAgeUnit.
	maxRestartAge = int(maxDowntime / restartAgeUnit)
	// reportJitter is by how much the delays of two load updates may differ: a sign that was refuted must not seem to be
	// another one when it is reported again.
	reportJitter = 500 * time.Millisecond
)

// suspicion is the sign that an upstream may be cold without the list showing it. One that restarts comes back cold,
// possibly with the ID that it had, and one whose evacuation ends is cold too; the list shows that with a delay, which is
// not bounded while it cannot be read. Until the cold time is over or the suspicion refuted, the upstream gets no more than
// a cold one.
type suspicion struct {
	// since is when the sign was noticed, or zero without one.
	since time.Time
	// workedAt is when the upstream worked last before the sign: a connection that is older and still works belongs to the
	// same process.
	workedAt time.Time
	// answeredAt is when the upstream answered first after the sign, or zero.
	answeredAt time.Time
	// until is when the suspicion ends in any case.
	until time.Time
	// noticed is set if this VM noticed the sign itself, which it tells the others of the region.
	noticed bool
	// refutedUpTo is the latest time of a sign that was refuted by an older connection.
	refutedUpTo time.Time
}

// Contact describes an answer of an upstream: when its connection was opened, and when the request was sent on it.
type Contact struct {
	ConnectedAt, AskedAt time.Time
}

// shows reports whether the answer came from a process that was there before a time and after it.
func (c Contact) shows(at time.Time) bool {
	return c.ConnectedAt.Before(at) && c.AskedAt.After(at)
}

// RestartReports holds the upstreams that a VM suspects by what it noticed itself, with the time since the sign in units
// of restartAgeUnit.
type RestartReports map[UpstreamKey]int

// mayBeCold reports whether an upstream is cold, or may be.
func (d *Dispatcher) mayBeCold(now time.Time, u *upstreamState, limits Limits) bool {
	return now.Before(u.coldUntil) || u.restart.pending(now) || !limits.NeverCold && d.awaitsPeers(now)
}

func (s *suspicion) pending(now time.Time) bool {
	return !s.since.IsZero() && now.Before(s.until)
}

// add records a sign and reports whether there was none before.
func (s *suspicion) add(now, at, workedAt, until time.Time) bool {
	begins := !s.pending(now)
	if begins {
		s.workedAt, s.noticed = workedAt, false
	}
	s.since, s.answeredAt, s.until = latest(s.since, at), time.Time{}, latest(s.until, until)
	if workedAt.Before(s.workedAt) {
		s.workedAt = workedAt
	}
	return begins
}

// end ends the suspicion.
func (s *suspicion) end() {
	*s = suspicion{refutedUpTo: s.refutedUpTo}
}

// SuspectRestart records that a connection to an upstream broke which had worked at a time, and reports whether the
// upstream was not suspected before.
func (d *Dispatcher) SuspectRestart(now time.Time, id string, workedAt time.Time) bool {
	u, ok := d.find(id)
	if !ok || d.limits[u.Service].NeverCold {
		return false
	}
	begins := u.restart.add(now, now, workedAt, now.Add(maxDowntime))
	u.restart.noticed = true
	return begins
}

// suspectUnreachable records that an upstream accepted no connection, and reports whether it was not suspected before.
func (d *Dispatcher) suspectUnreachable(now time.Time, u *upstreamState) bool {
	if d.limits[u.Service].NeverCold {
		return false
	}
	begins := u.restart.add(now, now, now, now.Add(maxDowntime))
	u.restart.noticed = true
	return begins
}

// suspectAfterEvacuation records that an upstream gets requests again after an evacuation, which leaves it cold. It
// answers, as far as is known, and no connection shows whether it is cold.
func (d *Dispatcher) suspectAfterEvacuation(now time.Time, u *upstreamState) {
	limits := d.limits[u.Service]
	if limits.NeverCold {
		return
	}
	coldTime := limits.ColdTime
	if coldTime <= 0 {
		coldTime = maxDowntime
	}
	u.restart.add(now, now, time.Time{}, now.Add(coldTime))
	u.restart.answeredAt = now
}

// RecordContact records an answer of an upstream. It reports whether the answer shows that the upstream did not restart.
func (d *Dispatcher) RecordContact(now time.Time, id string, contact Contact) bool {
	u, ok := d.find(id)
	if !ok {
		return false
	}
	u.lastContact = contact
	if !u.restart.pending(now) || contact.AskedAt.Before(u.restart.since) {
		return false
	}
	if contact.ConnectedAt.Before(u.restart.workedAt) {
		u.restart.refutedUpTo = u.restart.since
		u.restart.end()
		return true
	}
	if u.restart.answeredAt.IsZero() {
		u.restart.answeredAt = now
		if coldTime := d.limits[u.Service].ColdTime; coldTime > 0 {
			u.restart.until = now.Add(coldTime)
		}
	}
	return false
}

// SuspectedUpstreams returns the upstreams that this VM suspects and that have not answered since; their answer to a
// reading of the load shows more.
func (d *Dispatcher) SuspectedUpstreams(now time.Time) []Upstream {
	var list []Upstream
	for _, u := range d.upstreams {
		if u.restart.pending(now) && u.restart.answeredAt.IsZero() && !d.isLeaving(now, u) {
			list = append(list, u.Upstream)
		}
	}
	return list
}

// LocalRestarts returns the upstreams that this VM suspects by what it noticed itself.
func (d *Dispatcher) LocalRestarts(now time.Time) RestartReports {
	var reports RestartReports
	for _, u := range d.upstreams {
		if !u.restart.noticed || !u.restart.pending(now) {
			continue
		}
		if reports == nil {
			reports = RestartReports{}
		}
		reports[u.key] = min(int(now.Sub(u.restart.since)/restartAgeUnit), maxRestartAge)
	}
	return reports
}

// UpdateRestarts applies the reports of another entry VM of the region, and returns the IDs of the upstreams that were
// not suspected before. The suspicion lasts as long as the reports; an answer on an older connection refutes it, also one
// that came before the report.
func (d *Dispatcher) UpdateRestarts(now time.Time, reports RestartReports) []string {
	if len(reports) == 0 {
		return nil
	}
	var changed []string
	for id, u := range d.upstreams {
		age, ok := reports[u.key]
		if !ok || age < 0 || age > maxRestartAge || d.limits[u.Service].NeverCold {
			continue
		}
		// The age is rounded down, so the sign may be later by a unit.
		at := now.Add(-time.Duration(age+1) * restartAgeUnit)
		// What this VM noticed itself ends by what it learns itself: reports that prolonged each other would never end.
		ownSign := u.restart.noticed && u.restart.pending(now)
		if ownSign || u.lastContact.shows(at) {
			continue
		}
		if u.restart.pending(now) && !at.After(u.restart.since) {
			u.restart.until = latest(u.restart.until, now.Add(peerTimeout))
			continue
		}
		refuted := !at.After(u.restart.refutedUpTo.Add(reportJitter))
		if !refuted && u.restart.add(now, at, at, now.Add(peerTimeout)) {
			changed = append(changed, id)
		}
	}
	return changed
}
