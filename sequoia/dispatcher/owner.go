package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// rendezvousOwner returns the entry VM that rendezvous hashing selects for an upstream.
func rendezvousOwner(members []Member, id string) string {
	var owner string
	var highest uint64
	for _, member := range members {
		if weight := rendezvousWeight(member.Name, id); owner == "" || weight > highest {
			owner, highest = member.Name, weight
		}
	}
	return owner
}

// rendezvousRank returns how many entry VMs rendezvous hashing prefers to one of them, or false if that is not a member.
func rendezvousRank(members []Member, name, id string) (int, bool) {
	weight := rendezvousWeight(name, id)
	rank, isMember := 0, false
	for _, member := range members {
		if member.Name == name {
			isMember = true
		} else if rendezvousWeight(member.Name, id) > weight {
			rank++
		}
	}
	return rank, isMember
}

func rendezvousWeight(name, id string) uint64 {
	return xxhash.Sum64String(name + "/" + id)
}

// Owner returns the entry VM that sends long prefills to the upstream with affinity for the request's prefix. A single
// owner knows all of them and can serialise them. The owner is in the upstream's availability zone if a live VM is
// there.
func (d *Dispatcher) Owner(now time.Time, request Request) (string, bool) {
	limits := d.limits[request.Service]
	if !limits.Engine || request.promptTokens() < longPrefillTokens {
		return "", false
	}
	var usable []*upstreamState
	for _, u := range d.upstreamsFor(now, request) {
		if d.usable(now, u, limits) {
			usable = append(usable, u)
		}
	}
	preferred := affinityOf(request, usable).first
	if preferred == nil {
		return "", false
	}
	var candidates []Member
	for _, member := range d.fleet {
		if member.Zone == preferred.Zone {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		candidates = d.fleet
	}
	owner := rendezvousOwner(candidates, preferred.ID)
	return owner, owner != ""
}

// promptTokens returns the number of tokens of the whole prompt.
func (r Request) promptTokens() int {
	tokens := 0
	for _, part := range r.Parts {
		tokens += part.Tokens
	}
	return tokens
}
