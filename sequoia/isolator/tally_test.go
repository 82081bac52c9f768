package isolator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that crashes upstreams being passed on for ever because each VM sees only a part of it, and
// against refusing one whose upstreams died of something else once.
func TestTallyCountsDistinctUpstreams(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tally := NewLossCounter()
	bad, unlucky := Fingerprint{1}, Fingerprint{2}
	for upstream := range uint32(MaxLostUpstreams) {
		assert.Equal(t, len(tally.Refused(now)), 0)
		tally.Add(now, Loss{Fingerprint: bad, Upstream: upstream})
		tally.Add(now, Loss{Fingerprint: bad, Upstream: upstream})
		tally.Add(now, Loss{Fingerprint: unlucky, Upstream: 7})
	}
	assert.DeepEqual(t, tally.Refused(now), []Fingerprint{bad})
	assert.Equal(t, len(tally.Refused(now.Add(tallyTime+time.Second))), 0)
}
