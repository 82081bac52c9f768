package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerTimeout is the age at which the statement of another VM no longer counts; it covers the loss of three in a row.
const peerTimeout = 1500 * time.Millisecond

// Key identifies an upstream in statements between entry VMs.
type UpstreamKey uint32

// KeyOf returns the key of an upstream id.
func UpstreamKeyOf(id string) UpstreamKey {
	return UpstreamKey(xxhash.Sum64String(id))
}

// Sent is what one VM has at one upstream.
type Sent struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	// Unread counts the prompt tokens of requests without a first event, in statedTokens.
	Unread int
	// Recent counts the prompt tokens sent lately, older ones with less weight, in statedTokens.
	Recent int
}

// statedTokens is the unit of statements, which keeps them small: links between availability zones are dear.
const statedTokens = 128

func (s Sent) add(other Sent) Sent {
	return Sent{Requests: s.Requests + other.Requests, Unread: s.Unread + other.Unread, Recent: s.Recent + other.Recent}
}

func (s Sent) subtract(other Sent) Sent {
	return Sent{Requests: s.Requests - other.Requests, Unread: s.Unread - other.Unread, Recent: s.Recent - other.Recent}
}

// peer is what another entry VM of the region has at the upstreams.
type peer struct {
	sent map[UpstreamKey]Sent
	at   time.Time
}

// Hear takes in what another entry VM of the region has at the upstreams now.
func (d *Dispatcher) UpdatePeer(now time.Time, name string, sent map[UpstreamKey]Sent) {
	d.forget(name)
	d.peers[name] = peer{sent: sent, at: now}
	for key, each := range sent {
		d.stated[key] = d.stated[key].add(each)
	}
}

// forget takes the statement of a VM out of the sums.
func (d *Dispatcher) forget(name string) {
	for key, each := range d.peers[name].sent {
		sum := d.stated[key].subtract(each)
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

// Own returns what this VM has at the upstreams where it has anything.
func (d *Dispatcher) LocalLoad(now time.Time) map[UpstreamKey]Sent {
	own := map[UpstreamKey]Sent{}
	for _, r := range d.rows {
		sent := Sent{Requests: len(r.own), Unread: r.pending / statedTokens, Recent: int(r.recent.at(now)) / statedTokens}
		if sent != (Sent{}) {
			own[r.key] = sent
		}
	}
	return own
}

// Silent reports whether a live entry VM of the region was not heard lately; then its requests are known only from
// the reports of the upstreams.
func (d *Dispatcher) HasStalePeer(now time.Time) bool {
	for _, member := range d.fleet {
		if member.Name != d.self && now.Sub(d.peers[member.Name].at) > peerTimeout {
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
	return r.pending + d.stated[r.key].Unread*statedTokens
}

// reading estimates the part of its time that an upstream spends on reading prompts; above 1 it falls behind.
func (d *Dispatcher) reading(now time.Time, r *row) float64 {
	tokens := r.recent.at(now) + float64(d.stated[r.key].Recent*statedTokens)
	return tokens / (readRate * float64(recentTime.Milliseconds()))
}
