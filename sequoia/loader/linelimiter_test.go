package loader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that flood the log: a key has one line each second, which counts the others, and keys without
// news are forgotten.
func TestLinesOfAKeyAreLimited(t *testing.T) {
	var lines LineLimiter[string]
	start := time.Now()
	suppressed, ok := lines.Allow(start, "known")
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, 0)
	for range 10 {
		_, ok = lines.Allow(start.Add(lineInterval/2), "known")
		assert.Assert(t, !ok)
	}
	_, ok = lines.Allow(start.Add(lineInterval/2), "other")
	assert.Assert(t, ok, "another key has its own line")
	suppressed, ok = lines.Allow(start.Add(lineInterval), "known")
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, 10)
	lines.Allow(start.Add(3*lineInterval), "known")
	assert.Equal(t, len(lines.keys), 1)
}
