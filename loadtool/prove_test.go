package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const testOutput = `{"Action":"pass","Package":"x/a","Test":"TestMatrix/at-most-once/send/kill"}
{"Action":"pass","Package":"x/b","Test":"TestMatrixRecords/at-most-once/send/kill"}
{"Action":"output","Package":"x/a","Test":"TestMatrix/at-most-once/send/restart","Output":"    two executions\n"}
{"Action":"fail","Package":"x/a","Test":"TestMatrix/at-most-once/send/restart"}
{"Action":"fail","Package":"x/a","Test":"TestMatrix/at-most-once/send"}
{"Action":"fail","Package":"x/a","Test":"TestMatrix"}
{"Action":"fail","Package":"x/a"}
{"Action":"skip","Package":"x/a","Test":"TestMatrix/at-most-once/send/cut"}
{"Action":"pass","Package":"x/a","Test":"TestMatrix/own/name"}
{"Action":"pass","Package":"x/a","Test":"TestSchedules"}
{"Action":"output","Package":"x/c","Output":"does not build\n"}
{"Action":"fail","Package":"x/c"}
`

// Guards against a test being counted for the wrong column, which would report an untested cell as covered.
func TestColumnOf(t *testing.T) {
	for fault, want := range map[string]string{
		"kill": "kill", "kill-primary": "kill", "one-way-cut-to-gateway": "one-way-cut", "gateway-cut": "cut",
		"kill-again-during-recovery": "fault-during-recovery", "late": "late-message", "member-disk-full": "disk-full",
		"silent-timed-out": "silent-timed-out", "skill": "skill",
	} {
		assert.Equal(t, columnOf(fault), want)
	}
}

// Guards against a cell, a failure, a test without a cell or a package that does not build missing from the output.
func TestPrintMatrix(t *testing.T) {
	results := newTestResults()
	assert.NilError(t, results.read(strings.NewReader(testOutput)))
	var out bytes.Buffer
	printMatrix(&out, results)
	golden.Assert(t, out.String(), "matrix.golden")
}
