package measurer

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func runMeasure(t *testing.T, flags ...string) string {
	t.Helper()
	var out bytes.Buffer
	c := NewCommand()
	c.SetOut(&out)
	c.SetArgs(append([]string{"--deployments", "../../deployments"}, flags...))
	assert.NilError(t, c.Execute())
	return out.String()
}

// Guards against results that differ between two runs with the same seed.
func TestMeasureRepeats(t *testing.T) {
	flags := []string{"--deployment", "guild", "--scenario", "region-loss"}
	first := runMeasure(t, flags...)
	assert.Equal(t, first, runMeasure(t, flags...))
	assert.Assert(t, strings.Contains(first, "quick in target, of offered"))
}

// Guards against a target that is reported as met when its value is on the wrong side of the threshold.
func TestTargetMet(t *testing.T) {
	assert.Assert(t, target{value: 0.96, threshold: 0.95}.met())
	assert.Assert(t, !target{value: 0.94, threshold: 0.95}.met())
	assert.Assert(t, target{value: 0.4, threshold: 0.5, atMost: true}.met())
	assert.Assert(t, !target{value: 0.6, threshold: 0.5, atMost: true}.met())
}

// Guards against a missing folder of documents being accepted without an error.
func TestMeasureMissingFolder(t *testing.T) {
	c := NewCommand()
	c.SetArgs([]string{"--deployments", "absent"})
	assert.ErrorContains(t, c.Execute(), "measure")
}
