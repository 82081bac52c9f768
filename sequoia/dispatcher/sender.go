package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

// senderBackoff is how long an entry VM that refused a request for want of rate gets no others from this VM.
const senderBackoff = 300 * time.Millisecond

// Sender returns another entry VM of the region that may send a request to an upstream with a rate limit. It is asked
// when all upstreams that this VM could use are gone, as after the restart of a region whose upstreams are all cold:
// otherwise only the callers of the senders would be served.
func (d *Dispatcher) Sender(now time.Time, request Request, excluded []string) (string, bool) {
	var best string
	var highest uint64
	for _, u := range d.upstreamsFor(now, request) {
		rate, limited := d.rate(now, u, d.limits[request.Service])
		if !limited || !d.available(now, u) || slices.Contains(excluded, u.ID) {
			continue
		}
		for _, name := range d.sendersOf(u, rate) {
			if name == d.self || now.Before(d.busySenders[name]) || slices.Contains(request.ExcludedSenders, name) {
				continue
			}
			if weight := rendezvousWeight(name, request.ID); best == "" || weight > highest {
				best, highest = name, weight
			}
		}
	}
	return best, best != ""
}

// RecordBusySender records that an entry VM refused a request that was sent to it as a sender.
func (d *Dispatcher) RecordBusySender(now time.Time, name string) {
	for known, until := range d.busySenders {
		if !now.Before(until) {
			delete(d.busySenders, known)
		}
	}
	d.busySenders[name] = now.Add(senderBackoff)
}

// sendersOf returns the entry VMs that share the rate of an upstream.
func (d *Dispatcher) sendersOf(u *upstreamState, rate sharedRate) []string {
	if len(d.fleet) == 0 {
		return nil
	}
	if rate.senders == 1 {
		return []string{rendezvousOwner(d.fleet, u.ID)}
	}
	weights := make(map[string]uint64, len(d.fleet))
	names := make([]string, 0, len(d.fleet))
	for _, member := range d.fleet {
		weights[member.Name] = rendezvousWeight(member.Name, u.ID)
		names = append(names, member.Name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	return names[:min(rate.senders, len(names))]
}
