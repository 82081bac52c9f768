package dispatcher

import "time"

// unlistedMemory is how long the state of an upstream that the list leaves out is kept. A list may name it again: its
// writers and readers differ, and an entry may be invalid for once.
const unlistedMemory = time.Minute

// unlistedUpstream is an upstream that the list left out.
type unlistedUpstream struct {
	state *upstreamState
	since time.Time
}

// listed returns the state of an upstream that the list names, as it was before if the list left it out lately.
func (d *Dispatcher) listed(upstream Upstream) *upstreamState {
	if known, ok := d.upstreams[upstream.ID]; ok {
		return known
	}
	known := newUpstreamState(upstream)
	if earlier, ok := d.unlisted[upstream.ID]; ok {
		known = earlier.state
		delete(d.unlisted, upstream.ID)
	}
	d.upstreams[upstream.ID] = known
	return known
}

// unlist keeps the state of an upstream that the list leaves out.
func (d *Dispatcher) unlist(now time.Time, u *upstreamState) {
	d.unlisted[u.ID] = unlistedUpstream{state: u, since: now}
	delete(d.upstreams, u.ID)
}

// forgetUnlisted removes the upstreams that the list has left out for long.
func (d *Dispatcher) forgetUnlisted(now time.Time) {
	for id, earlier := range d.unlisted {
		if now.Sub(earlier.since) > unlistedMemory {
			delete(d.unlisted, id)
		}
	}
}

// find returns the state of an upstream, whether the list names it or left it out lately.
func (d *Dispatcher) find(id string) (*upstreamState, bool) {
	if u, ok := d.upstreams[id]; ok {
		return u, true
	}
	earlier, ok := d.unlisted[id]
	return earlier.state, ok
}
