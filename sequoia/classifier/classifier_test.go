package classifier

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// declaredCauses reads the names of all Cause constants from the source, so that a new cause cannot be left out.
func declaredCauses(t *testing.T) []Cause {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "table.go", nil, 0)
	assert.NilError(t, err)
	var causes []Cause
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Cause") {
			return true
		}
		causes = append(causes, Cause(strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`)))
		return false
	})
	return causes
}

// Guards against an error path without a row, a duplicate row, or a hint to retry what must not be retried.
func TestTableCoversEveryCause(t *testing.T) {
	rows := map[Cause]int{}
	for _, entry := range Table() {
		rows[entry.Cause]++
		assert.Assert(t, entry.Status >= 400 && entry.Title != "", "%s", entry.Cause)
		assert.Assert(t, !entry.AlwaysRefused || (entry.Outcome == OutcomeNotRun && !entry.RetryAfter), "%s", entry.Cause)
		assert.Assert(t, entry.Outcome != OutcomeRan || !entry.RetryAfter, "%s", entry.Cause)
	}
	causes := declaredCauses(t)
	assert.Equal(t, len(causes), len(rows))
	for _, cause := range causes {
		assert.Equal(t, rows[cause], 1, "%s", cause)
	}
}

// flags names each fact of a call; a test case sets every combination of them.
var flags = []struct {
	name string
	set  func(*FailedCall)
}{
	{"refused", func(c *FailedCall) { c.Refused = true }},
	{"responded", func(c *FailedCall) { c.Responded = true }},
	{"failed", func(c *FailedCall) { c.ErrorStatus = true }},
	{"delivered", func(c *FailedCall) { c.Delivered = true }},
	{"silent", func(c *FailedCall) { c.Silent = true }},
	{"timed-out", func(c *FailedCall) { c.TimedOut = true }},
	{"caller-gone", func(c *FailedCall) { c.CallerGone = true }},
	{"withdrawn", func(c *FailedCall) { c.ResidencyWithdrawn = true }},
}

func combination(bits int, written bool) (string, FailedCall) {
	call := FailedCall{Written: written}
	names := []string{}
	for i, flag := range flags {
		if bits&(1<<i) != 0 {
			flag.set(&call)
			names = append(names, flag.name)
		}
	}
	if len(names) == 0 {
		return "none", call
	}
	return strings.Join(names, "-"), call
}

// Guards against telling a caller "not run" although a byte of the request had left.
func TestMatrix(t *testing.T) {
	for bits := range 1 << len(flags) {
		unwritten, call := combination(bits, false)
		t.Run("not-run/before-send/"+unwritten, func(t *testing.T) {
			assert.Equal(t, Lookup(CauseOf(call)).Outcome, OutcomeNotRun)
		})
		written, sent := combination(bits, true)
		t.Run("not-run/after-send/"+written, func(t *testing.T) {
			outcome := Lookup(CauseOf(sent)).Outcome
			assert.Equal(t, outcome == OutcomeNotRun, sent.Refused)
		})
	}
}

// Guards against "not run" for a resent booking of which an earlier attempt may have run.
func TestKeyedRequestBeforeRecord(t *testing.T) {
	for _, entry := range Table() {
		outcome := entry.OutcomeFor(KeyStatusUnchecked)
		assert.Assert(t, outcome != OutcomeNotRun || entry.AlwaysRefused, "%s", entry.Cause)
		assert.Equal(t, entry.OutcomeFor(KeyStatusGranted), entry.Outcome)
	}
}

func Example() {
	cause := CauseOf(FailedCall{Written: true, TimedOut: true})
	entry := Lookup(cause)
	fmt.Println(cause, entry.Status, entry.Outcome)
	// Output: response-timeout 504 unknown
}
