package measurer

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func measured(t *testing.T, flags ...string) string {
	t.Helper()
	var out bytes.Buffer
	c := NewCommand()
	c.SetOut(&out)
	c.SetArgs(append([]string{"--deployments", "../../deployments"}, flags...))
	assert.NilError(t, c.Execute())
	return out.String()
}

// Guards against figures that differ between two runs with the same seed.
func TestMeasureRepeats(t *testing.T) {
	flags := []string{"--deployment", "guild", "--scenario", "region-loss"}
	first := measured(t, flags...)
	assert.Equal(t, first, measured(t, flags...))
	assert.Assert(t, strings.Contains(first, "quick in target, of offered"))
}

// Guards against a target that is reported as met when its figure is on the wrong side of the bound.
func TestTargetsAreDirected(t *testing.T) {
	assert.Assert(t, target{value: 0.96, bound: 0.95}.met())
	assert.Assert(t, !target{value: 0.94, bound: 0.95}.met())
	assert.Assert(t, target{value: 0.4, bound: 0.5, atMost: true}.met())
	assert.Assert(t, !target{value: 0.6, bound: 0.5, atMost: true}.met())
}

// Guards against a document without a known engine pool being measured as if it had no load.
func TestMeasureUnknownFolder(t *testing.T) {
	c := NewCommand()
	c.SetArgs([]string{"--deployments", "absent"})
	assert.ErrorContains(t, c.Execute(), "measure")
}
