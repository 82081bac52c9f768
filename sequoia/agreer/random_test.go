package agreer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against repeated split votes: two of three voters that were restarted together had the same election timeouts
// and split their votes for nine seconds (kiosks deployment, day trouble-2, seed 11).
func TestElectionTimeoutsDifferWithEqualSeed(t *testing.T) {
	const seed = 7
	a, b := newElectionRandom("10.1.0.7:7760#1", seed), newElectionRandom("10.3.0.15:7760#1", seed)
	equal := 0
	for range 100 {
		if a.Int64N(1000) == b.Int64N(1000) {
			equal++
		}
	}
	assert.Assert(t, equal < 10, "%d of 100 timeouts are equal", equal)
}
