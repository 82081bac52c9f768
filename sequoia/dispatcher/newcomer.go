package dispatcher

import "time"

// peerWait is how long a VM that has just started waits for the load update of another VM, which tells it which upstreams
// may have restarted. An update is refreshed each 0.9 s.
const peerWait = time.Second

// AwaitPeers makes this VM, which has just started, take all upstreams for possibly cold until it has heard from another
// VM of the region, if there is one.
func (d *Dispatcher) AwaitPeers() {
	d.newcomer = true
}

// recordFirstList records the time of the first list.
func (d *Dispatcher) recordFirstList(now time.Time) {
	if d.firstListAt.IsZero() {
		d.firstListAt = now
	}
}

// awaitsPeers reports whether this VM has just started and has not heard from another VM of the region.
func (d *Dispatcher) awaitsPeers(now time.Time) bool {
	if !d.newcomer {
		return false
	}
	if now.Sub(d.firstListAt) >= peerWait || len(d.peers) > 0 || len(d.fleet) == 1 && d.fleet[0].Name == d.self {
		d.newcomer = false
	}
	return d.newcomer
}
