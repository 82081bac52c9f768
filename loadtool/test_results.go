package main

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
)

const (
	matrixPrefix = "TestMatrix"
	// maxTestLineBytes limits the length of one line of test output.
	maxTestLineBytes = 1 << 20
	// cellParts is the number of parts of a cell name: property, step and fault.
	cellParts = 3
)

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// outcome is the outcome of a test.
type outcome string

const (
	outcomePassed  outcome = "pass"
	outcomeFailed  outcome = "fail"
	outcomeSkipped outcome = "skip"
)

// testName identifies a test by its package and name.
type testName struct {
	pkg  string
	test string
}

// testResults collects the outcomes and the output of tests.
type testResults struct {
	outcomes map[testName]outcome
	output   map[testName][]string
	// failedPackages lists the packages that failed without a failed test, for example because they do not build.
	failedPackages []string
}

func newTestResults() *testResults {
	return &testResults{outcomes: map[testName]outcome{}, output: map[testName][]string{}}
}

// read adds the results in the output of go test -json.
func (r *testResults) read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxTestLineBytes)
	for scanner.Scan() {
		var event testEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil {
			continue
		}
		r.addEvent(event)
	}
	return scanner.Err()
}

func (r *testResults) addEvent(event testEvent) {
	name := testName{pkg: event.Package, test: event.Test}
	switch event.Action {
	case "output":
		r.output[name] = append(r.output[name], event.Output)
	case string(outcomePassed), string(outcomeFailed), string(outcomeSkipped):
		if event.Test != "" {
			r.outcomes[name] = outcome(event.Action)
		} else if event.Action == string(outcomeFailed) && !r.packageHasFailure(event.Package) {
			r.failedPackages = append(r.failedPackages, event.Package)
		}
	}
}

func (r *testResults) packageHasFailure(pkg string) bool {
	for name, result := range r.outcomes {
		if name.pkg == pkg && result == outcomeFailed {
			return true
		}
	}
	return false
}

// leafTests returns the tests without subtests, and those that failed although their subtests passed, sorted by name.
func (r *testResults) leafTests() []testName {
	parents := map[testName]bool{}
	for name := range r.outcomes {
		for i, char := range name.test {
			if char == '/' {
				parents[testName{pkg: name.pkg, test: name.test[:i]}] = true
			}
		}
	}
	var leaves []testName
	for name, result := range r.outcomes {
		if !parents[name] || result == outcomeFailed && !r.subtestFailed(name) {
			leaves = append(leaves, name)
		}
	}
	slices.SortFunc(leaves, func(a, b testName) int { return strings.Compare(a.test+a.pkg, b.test+b.pkg) })
	return leaves
}

func (r *testResults) subtestFailed(parent testName) bool {
	for name, result := range r.outcomes {
		if name.pkg == parent.pkg && strings.HasPrefix(name.test, parent.test+"/") && result == outcomeFailed {
			return true
		}
	}
	return false
}

// cell returns the cell that a test covers, or "" if the test is not part of the matrix.
func (n testName) cell() string {
	function, rest, _ := strings.Cut(n.test, "/")
	parts := strings.SplitN(rest, "/", cellParts)
	if !strings.HasPrefix(function, matrixPrefix) || len(parts) < cellParts {
		return ""
	}
	fault, _, _ := strings.Cut(parts[2], "/")
	return cellName(parts[0], parts[1], columnOf(fault))
}

// outcomesByCell groups the outcomes of the leaf tests by cell.
func (r *testResults) outcomesByCell() map[string][]outcome {
	cells := map[string][]outcome{}
	for _, name := range r.leafTests() {
		if cell := name.cell(); cell != "" {
			cells[cell] = append(cells[cell], r.outcomes[name])
		}
	}
	return cells
}

// count returns the numbers of leaf tests that passed and failed; a failed package counts as one failure.
func (r *testResults) count() (passed, failed int) {
	for _, name := range r.leafTests() {
		switch r.outcomes[name] {
		case outcomePassed:
			passed++
		case outcomeFailed:
			failed++
		case outcomeSkipped:
		}
	}
	return passed, failed + len(r.failedPackages)
}
