package isolator

import (
	"slices"
	"time"
)

// tallyTime is how long the loss of an upstream counts; it covers the pauses after which callers send again.
const tallyTime = 2 * time.Minute

// Loss says that an upstream died while it ran a request with a fingerprint.
type Loss struct {
	Fingerprint Fingerprint
	// Upstream identifies one life of an upstream.
	Upstream uint32
}

// Tally counts the upstreams that died under each fingerprint, as reported by all entry VMs. It answers callers that
// send a request that crashes upstreams again and again, to any VM.
type LossCounter struct {
	lost map[Fingerprint]map[uint32]time.Time
}

// NewTally returns an empty tally.
func NewLossCounter() *LossCounter {
	return &LossCounter{lost: map[Fingerprint]map[uint32]time.Time{}}
}

// Add counts a loss; a loss that is told twice counts once.
func (t *LossCounter) Add(now time.Time, loss Loss) {
	upstreams, ok := t.lost[loss.Fingerprint]
	if !ok {
		upstreams = map[uint32]time.Time{}
		t.lost[loss.Fingerprint] = upstreams
	}
	upstreams[loss.Upstream] = now
}

// Refused returns the fingerprints that no upstream should run any more, in order.
func (t *LossCounter) Refused(now time.Time) []Fingerprint {
	var refused []Fingerprint
	for fingerprint, upstreams := range t.lost {
		for upstream, at := range upstreams {
			if now.Sub(at) > tallyTime {
				delete(upstreams, upstream)
			}
		}
		if len(upstreams) == 0 {
			delete(t.lost, fingerprint)
		}
		if len(upstreams) >= MaxLostUpstreams {
			refused = append(refused, fingerprint)
		}
	}
	slices.SortFunc(refused, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return refused
}
