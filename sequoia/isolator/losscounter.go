package isolator

import (
	"slices"
	"time"
)

// lossTTL is how long a loss counts. It is longer than the delays after which callers retry.
const lossTTL = 2 * time.Minute

// Loss reports that an upstream died while running a request with the fingerprint.
type Loss struct {
	Fingerprint Fingerprint
	// Upstream identifies one incarnation of an upstream.
	Upstream uint32
}

// LossCounter counts the upstreams that died while running each fingerprint, as reported by all entry VMs. It detects a
// request that crashes upstreams and is resent repeatedly, to whichever VM.
type LossCounter struct {
	losses map[Fingerprint]map[uint32]time.Time
}

// NewLossCounter returns an empty LossCounter.
func NewLossCounter() *LossCounter {
	return &LossCounter{losses: map[Fingerprint]map[uint32]time.Time{}}
}

// Add counts a loss. Repeated reports of the same loss count once.
func (c *LossCounter) Add(now time.Time, loss Loss) {
	upstreams, ok := c.losses[loss.Fingerprint]
	if !ok {
		upstreams = map[uint32]time.Time{}
		c.losses[loss.Fingerprint] = upstreams
	}
	upstreams[loss.Upstream] = now
}

// Refused returns the fingerprints that must not be run any more, in ascending order, and removes expired losses.
func (c *LossCounter) Refused(now time.Time) []Fingerprint {
	var refused []Fingerprint
	for fingerprint, upstreams := range c.losses {
		for upstream, at := range upstreams {
			if now.Sub(at) > lossTTL {
				delete(upstreams, upstream)
			}
		}
		if len(upstreams) == 0 {
			delete(c.losses, fingerprint)
		}
		if len(upstreams) >= MaxLostUpstreams {
			refused = append(refused, fingerprint)
		}
	}
	slices.SortFunc(refused, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return refused
}
