package dispatcher

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearSample and farSample are the numbers of upstreams of the own and of other availability zones that a request
	// compares. Statements are up to 0.6 s old; VMs that all compared every upstream would all choose the one that was
	// idle then, and a region takes a hundred requests in that time.
	nearSample = 2
	farSample  = 1
)

// sample returns the upstreams that a request compares: a few that its id chooses, and those that may have its beginning.
func (d *Dispatcher) sample(request Request, usable []*row, named readers) []*row {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(request.ID), 0))
	near, far := 0, 0
	var chosen []*row
	for _, i := range random.Perm(len(usable)) {
		r := usable[i]
		switch {
		case r == named.first || r == named.second:
			chosen = append(chosen, r)
		case r.Zone == d.zone && near < nearSample:
			near++
			chosen = append(chosen, r)
		case r.Zone != d.zone && far < farSample:
			far++
			chosen = append(chosen, r)
		}
	}
	return chosen
}
