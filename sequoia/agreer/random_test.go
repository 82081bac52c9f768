package agreer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against members that stand for election at the same moment again and again: two of three voters that were
// restarted together split their votes for nine seconds (trouble-2 of nilepaws-kiosks, seed 11).
func TestMembersDifferDespiteEqualRandomness(t *testing.T) {
	const start = 7
	a, b := newRandom("10.1.0.7:7760#1", start), newRandom("10.3.0.15:7760#1", start)
	equal := 0
	for range 100 {
		if a.Int64N(1000) == b.Int64N(1000) {
			equal++
		}
	}
	assert.Assert(t, equal < 10, "%d of 100 timeouts are equal", equal)
}
