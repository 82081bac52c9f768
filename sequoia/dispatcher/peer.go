package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerTimeout is the age at which the gossip of another VM is ignored; it tolerates the loss of three messages in a
// row.
const peerTimeout = 1500 * time.Millisecond

// UpstreamKey identifies an upstream in gossip between entry VMs.
type UpstreamKey uint32

// UpstreamKeyOf returns the key of an upstream ID.
func UpstreamKeyOf(id string) UpstreamKey {
	return UpstreamKey(xxhash.Sum64String(id))
}

// Sent is the load that one VM has at one upstream.
type Sent struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	// Unread counts the prompt tokens of requests whose prefill is not finished, in units of tokenUnit.
	Unread int
	// Recent is the decaying sum of recently sent prompt tokens, in units of tokenUnit.
	Recent int
}

// tokenUnit is the number of tokens per unit in gossip; it keeps messages small because traffic between availability
// zones is expensive.
const tokenUnit = 128

func (s Sent) add(other Sent) Sent {
	return Sent{Requests: s.Requests + other.Requests, Unread: s.Unread + other.Unread, Recent: s.Recent + other.Recent}
}

func (s Sent) subtract(other Sent) Sent {
	return Sent{Requests: s.Requests - other.Requests, Unread: s.Unread - other.Unread, Recent: s.Recent - other.Recent}
}

// LoadPart identifies one part of a load update that does not fit in one message. Upstreams belong to a part by their
// key, so a part replaces the one with the same number.
type LoadPart struct {
	Number, Count int
}

// maxLoadParts limits the parts of a load update.
const maxLoadParts = 64

// Contains reports whether an upstream belongs to the part.
func (p LoadPart) Contains(key UpstreamKey) bool {
	return int(uint64(key)%uint64(p.Count)) == p.Number
}

// peer is the load that another entry VM of the region has at the upstreams.
type peer struct {
	// parts holds the parts of the latest load updates by number.
	parts    []map[UpstreamKey]Sent
	received time.Time
}

// UpdatePeer replaces the load that another entry VM of the region has at the upstreams.
func (d *Dispatcher) UpdatePeer(now time.Time, name string, sent map[UpstreamKey]Sent) {
	d.UpdatePeerPart(now, name, LoadPart{Count: 1}, sent)
}

// UpdatePeerPart replaces a part of the load that another entry VM of the region has at the upstreams. An invalid part is
// ignored.
func (d *Dispatcher) UpdatePeerPart(now time.Time, name string, part LoadPart, sent map[UpstreamKey]Sent) {
	if part.Count < 1 || part.Count > maxLoadParts || part.Number < 0 || part.Number >= part.Count {
		return
	}
	known := d.peers[name]
	if len(known.parts) != part.Count {
		d.dropPeer(name)
		known.parts = make([]map[UpstreamKey]Sent, part.Count)
	}
	d.subtractFromTotals(known.parts[part.Number])
	known.parts[part.Number], known.received = sent, now
	d.peers[name] = known
	for key, each := range sent {
		d.peerTotals[key] = d.peerTotals[key].add(each)
	}
}

// dropPeer subtracts the load of a peer from the totals and removes it.
func (d *Dispatcher) dropPeer(name string) {
	for _, part := range d.peers[name].parts {
		d.subtractFromTotals(part)
	}
	delete(d.peers, name)
}

func (d *Dispatcher) subtractFromTotals(sent map[UpstreamKey]Sent) {
	for key, each := range sent {
		sum := d.peerTotals[key].subtract(each)
		d.peerTotals[key] = sum
		if sum == (Sent{}) {
			delete(d.peerTotals, key)
		}
	}
}

// dropStalePeers removes the peers whose gossip is too old.
func (d *Dispatcher) dropStalePeers(now time.Time) {
	for name, peer := range d.peers {
		if now.Sub(peer.received) > peerTimeout {
			d.dropPeer(name)
		}
	}
}

// LocalLoad returns the load that this VM has at each upstream, omitting those without any.
func (d *Dispatcher) LocalLoad(now time.Time) map[UpstreamKey]Sent {
	loads := map[UpstreamKey]Sent{}
	for _, u := range d.upstreams {
		sent := Sent{Requests: len(u.inFlight), Unread: u.pendingTokens / tokenUnit, Recent: int(u.recentTokens.valueAt(now)) / tokenUnit}
		if sent != (Sent{}) {
			loads[u.key] = sent
		}
	}
	return loads
}

// HasStalePeer reports whether gossip from a live entry VM of the region is overdue; its requests are then known only
// from the load reports of the upstreams.
func (d *Dispatcher) HasStalePeer(now time.Time) bool {
	for _, member := range d.fleet {
		if member.Name != d.self && now.Sub(d.peers[member.Name].received) > peerTimeout {
			return true
		}
	}
	return false
}

// outstanding estimates the number of requests at an upstream: those of this VM plus those gossiped by peers. While a
// load report is recent, the requests of others that it implies are a lower bound for the peers' share, which covers
// peers that are stale.
func (d *Dispatcher) outstanding(now time.Time, u *upstreamState) int {
	peerRequests := d.peerTotals[u.key].Requests
	if now.Sub(u.reportedAt) <= reportTimeout {
		peerRequests = max(peerRequests, u.otherRequests)
	}
	return len(u.inFlight) + peerRequests
}

// pendingTokens estimates the prompt tokens that an upstream still has to prefill.
func (d *Dispatcher) pendingTokens(u *upstreamState) int {
	return u.pendingTokens + d.peerTotals[u.key].Unread*tokenUnit
}

// prefillUtilisation estimates the share of time that an upstream spends on prefill; above 1 it falls behind.
func (d *Dispatcher) prefillUtilisation(now time.Time, u *upstreamState) float64 {
	tokens := u.recentTokens.valueAt(now) + float64(d.peerTotals[u.key].Recent*tokenUnit)
	return tokens / (prefillRate * float64(recentTimeConstant.Milliseconds()))
}
