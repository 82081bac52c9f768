package answerer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stampede into a region whose pressure is known late, and against crossing for a small gain.
func TestCrossPart(t *testing.T) {
	assert.Equal(t, crossPart(0.9, 0.8), 0.0)
	assert.Assert(t, crossPart(1.0, 0.2) > 0.3)
	assert.Assert(t, crossPart(1.0, 0.2) < 0.5)
	assert.Equal(t, crossPart(1e6, 0), 0.5)
}
