package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the measure command being registered under another name.
func TestMeasureCommand(t *testing.T) {
	assert.Equal(t, NewMeasureCommand().Name(), "measure")
}
