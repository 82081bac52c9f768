package isolator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against running a crashing request for ever because each VM sees only some of its losses, and against refusing
// a request that was in flight during a single unrelated crash.
func TestLossCounterCountsDistinctUpstreams(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	counter := NewLossCounter()
	crashing, unrelated := Fingerprint{1}, Fingerprint{2}
	for upstream := range uint32(MaxLostUpstreams) {
		assert.Equal(t, len(counter.Refused(now)), 0)
		counter.Add(now, Loss{Fingerprint: crashing, Upstream: upstream})
		counter.Add(now, Loss{Fingerprint: crashing, Upstream: upstream})
		counter.Add(now, Loss{Fingerprint: unrelated, Upstream: 7})
	}
	assert.DeepEqual(t, counter.Refused(now), []Fingerprint{crashing})
	assert.Equal(t, len(counter.Refused(now.Add(lossTTL+time.Second))), 0)
}
