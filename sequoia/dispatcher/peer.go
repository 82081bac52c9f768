package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerTimeout is the age at which the statement of another VM no longer counts; it covers the loss of four in a row.
const peerTimeout = 1500 * time.Millisecond

// Key identifies an upstream in statements between entry VMs.
type Key uint32

// KeyOf returns the key of an upstream id.
func KeyOf(id string) Key {
	return Key(xxhash.Sum64String(id))
}

// Sent is what one VM has at one upstream: its requests, and the prompt tokens of those without a first event.
type Sent struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Unread   int
}

// peer is what another entry VM of the region has at the upstreams.
type peer struct {
	sent map[Key]Sent
	at   time.Time
}

// Hear takes in what another entry VM of the region has at the upstreams now.
func (d *Dispatcher) Hear(now time.Time, name string, sent map[Key]Sent) {
	d.forget(name)
	d.peers[name] = peer{sent: sent, at: now}
	for key, each := range sent {
		sum := d.stated[key]
		d.stated[key] = Sent{Requests: sum.Requests + each.Requests, Unread: sum.Unread + each.Unread}
	}
}

// forget takes the statement of a VM out of the sums.
func (d *Dispatcher) forget(name string) {
	for key, each := range d.peers[name].sent {
		sum := d.stated[key]
		sum.Requests -= each.Requests
		sum.Unread -= each.Unread
		d.stated[key] = sum
		if sum == (Sent{}) {
			delete(d.stated, key)
		}
	}
	delete(d.peers, name)
}

// forgetSilent drops the statements that are too old.
func (d *Dispatcher) forgetSilent(now time.Time) {
	for name, peer := range d.peers {
		if now.Sub(peer.at) > peerTimeout {
			d.forget(name)
		}
	}
}

// Own returns the requests of this VM at the upstreams that have any.
func (d *Dispatcher) Own() map[Key]Sent {
	own := map[Key]Sent{}
	for _, r := range d.rows {
		if len(r.own) > 0 {
			own[r.key] = Sent{Requests: len(r.own), Unread: r.pending}
		}
	}
	return own
}

// Silent reports whether a live entry VM of the region was not heard lately; then its requests are known only from
// the reports of the upstreams.
func (d *Dispatcher) Silent(now time.Time) bool {
	for _, name := range d.fleet {
		if name != d.self && now.Sub(d.peers[name].at) > peerTimeout {
			return true
		}
	}
	return false
}

// outstanding estimates the requests at an upstream: the own ones, those that other VMs state, and while a VM is
// silent what the upstream reports beyond these.
func (d *Dispatcher) outstanding(now time.Time, r *row) int {
	stated := d.stated[r.key].Requests
	if now.Sub(r.reported) <= reportTimeout {
		stated = max(stated, r.others)
	}
	return len(r.own) + stated
}

// unread estimates the prompt tokens that an upstream has before it.
func (d *Dispatcher) unread(r *row) int {
	return r.pending + d.stated[r.key].Unread
}
