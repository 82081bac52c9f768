package dispatcher

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameZoneSample and otherZoneSample are the numbers of upstreams in the VM's own and in other availability zones
	// that a request compares. Gossip is up to 0.6 s old: if every VM compared all upstreams, they would all choose the
	// one that was idle then, and a region receives a hundred requests in that time.
	sameZoneSample  = 2
	otherZoneSample = 1
)

// sample returns the upstreams that a request compares (power of two choices): a few selected pseudo-randomly by its
// ID, and those with cache affinity.
func (d *Dispatcher) sample(request Request, usable []*upstreamState, preferred affinity) []*upstreamState {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(request.ID), 0))
	sameZone, otherZone := 0, 0
	var sampled []*upstreamState
	for _, i := range random.Perm(len(usable)) {
		u := usable[i]
		switch {
		case u == preferred.first || u == preferred.second:
			sampled = append(sampled, u)
		case u.Zone == d.zone && sameZone < sameZoneSample:
			sameZone++
			sampled = append(sampled, u)
		case u.Zone != d.zone && otherZone < otherZoneSample:
			otherZone++
			sampled = append(sampled, u)
		}
	}
	return sampled
}
