package dispatcher

import "time"

// maxStatedWait limits the time for which an upstream can ask to be left alone, so that an absurd value is no ban for
// good.
const maxStatedWait = 5 * time.Minute

// RecordWait records that an upstream which refused a request of this VM asked for no more requests for some time. It
// reports whether the upstream was not waited for before.
func (d *Dispatcher) RecordWait(now time.Time, id string, wait time.Duration) bool {
	u, ok := d.upstreams[id]
	if !ok || wait <= 0 {
		return false
	}
	begins := !now.Before(u.waitUntil)
	u.waitUntil = latest(u.waitUntil, now.Add(min(wait, maxStatedWait)))
	return begins
}

// availableIn returns the shortest time until one of the upstreams for a request that may get requests again does, and 0
// if that does not depend on time alone.
func (d *Dispatcher) availableIn(now time.Time, request Request) time.Duration {
	var shortest time.Duration
	for _, u := range d.upstreamsFor(now, request) {
		if d.isLeaving(now, u) || d.evacuated[u.Zone] {
			continue
		}
		remaining := latest(u.ejectedUntil, u.waitUntil).Sub(now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// PollableUpstreams returns the upstreams whose load may be read: those that are not leaving and did not ask to be left
// alone.
func (d *Dispatcher) PollableUpstreams(now time.Time) []Upstream {
	var list []Upstream
	for _, u := range d.upstreams {
		if !d.isLeaving(now, u) && !now.Before(u.waitUntil) {
			list = append(list, u.Upstream)
		}
	}
	return list
}
