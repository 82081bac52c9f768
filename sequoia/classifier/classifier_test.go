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

// declaredCauses returns the values of all Cause constants from the source, so that no new cause can be missed.
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

// Guards against causes without an entry, duplicate entries, and retry hints for requests that must not be retried.
func TestTableCoversEveryCause(t *testing.T) {
	entries := map[Cause]int{}
	for _, entry := range Table() {
		entries[entry.Cause]++
		assert.Assert(t, entry.Status >= 400 && entry.Title != "", "%s", entry.Cause)
		assert.Assert(t, !entry.AlwaysRefused || (entry.Outcome == OutcomeNotRun && !entry.RetryAfter), "%s", entry.Cause)
		assert.Assert(t, entry.Outcome != OutcomeRan || !entry.RetryAfter, "%s", entry.Cause)
	}
	causes := declaredCauses(t)
	assert.Equal(t, len(causes), len(entries))
	for _, cause := range causes {
		assert.Equal(t, entries[cause], 1, "%s", cause)
	}
}

// callFacts lists the fields of a call; the test covers every combination.
var callFacts = []struct {
	name string
	set  func(*FailedCall)
}{
	{"refused", func(c *FailedCall) { c.Refused = true }},
	{"responded", func(c *FailedCall) { c.Responded = true }},
	{"failed", func(c *FailedCall) { c.ErrorStatus = true }},
	{"delivered", func(c *FailedCall) { c.Delivered = true }},
	{"silent", func(c *FailedCall) { c.Inactive = true }},
	{"timed-out", func(c *FailedCall) { c.TimedOut = true }},
	{"caller-gone", func(c *FailedCall) { c.CallerCancelled = true }},
	{"withdrawn", func(c *FailedCall) { c.ResidencyWithdrawn = true }},
}

func combination(bits int, written bool) (string, FailedCall) {
	call := FailedCall{Written: written}
	names := []string{}
	for i, fact := range callFacts {
		if bits&(1<<i) != 0 {
			fact.set(&call)
			names = append(names, fact.name)
		}
	}
	if len(names) == 0 {
		return "none", call
	}
	return strings.Join(names, "-"), call
}

// Guards against reporting "not run" to a caller after a byte of the request was sent.
func TestMatrix(t *testing.T) {
	for bits := range 1 << len(callFacts) {
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

// Guards against reporting "not run" for a resent request of which an earlier attempt may have run.
func TestKeyedRequestBeforeRecordLookup(t *testing.T) {
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
