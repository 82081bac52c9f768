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
	// maxTestLine bounds one line of test output.
	maxTestLine = 1 << 20
	// cellParts is the number of parts of a cell's name: property, step and fault.
	cellParts = 3
)

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// outcome is how a test ended.
type outcome string

const (
	outcomePassed  outcome = "pass"
	outcomeFailed  outcome = "fail"
	outcomeSkipped outcome = "skip"
)

// testName names a test in its package.
type testName struct {
	pkg  string
	test string
}

// verdicts collects how tests ended, and what the failed ones printed.
type verdicts struct {
	outcomes map[testName]outcome
	output   map[testName][]string
	// broken are the packages that failed without a failed test, for example because they do not build.
	broken []string
}

func newVerdicts() *verdicts {
	return &verdicts{outcomes: map[testName]outcome{}, output: map[testName][]string{}}
}

// read takes the output of one go test -json.
func (v *verdicts) read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxTestLine)
	for scanner.Scan() {
		var event testEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil {
			continue
		}
		v.take(event)
	}
	return scanner.Err()
}

func (v *verdicts) take(event testEvent) {
	name := testName{pkg: event.Package, test: event.Test}
	switch event.Action {
	case "output":
		v.output[name] = append(v.output[name], event.Output)
	case string(outcomePassed), string(outcomeFailed), string(outcomeSkipped):
		if event.Test != "" {
			v.outcomes[name] = outcome(event.Action)
		} else if event.Action == string(outcomeFailed) && !v.anyFailed(event.Package) {
			v.broken = append(v.broken, event.Package)
		}
	}
}

func (v *verdicts) anyFailed(pkg string) bool {
	for name, ended := range v.outcomes {
		if name.pkg == pkg && ended == outcomeFailed {
			return true
		}
	}
	return false
}

// leaves returns the tests that have no subtests, sorted.
func (v *verdicts) leaves() []testName {
	parents := map[testName]bool{}
	for name := range v.outcomes {
		for at, letter := range name.test {
			if letter == '/' {
				parents[testName{pkg: name.pkg, test: name.test[:at]}] = true
			}
		}
	}
	var leaves []testName
	for name, ended := range v.outcomes {
		// A parent can fail by itself while its subtests pass.
		if !parents[name] || ended == outcomeFailed && !v.childFailed(name) {
			leaves = append(leaves, name)
		}
	}
	slices.SortFunc(leaves, func(a, b testName) int { return strings.Compare(a.test+a.pkg, b.test+b.pkg) })
	return leaves
}

func (v *verdicts) childFailed(parent testName) bool {
	for name, ended := range v.outcomes {
		if name.pkg == parent.pkg && strings.HasPrefix(name.test, parent.test+"/") && ended == outcomeFailed {
			return true
		}
	}
	return false
}

// cell returns the cell that a test proves, or "" when it is not a test of the matrix.
func (n testName) cell() string {
	function, rest, _ := strings.Cut(n.test, "/")
	parts := strings.SplitN(rest, "/", cellParts)
	if !strings.HasPrefix(function, matrixPrefix) || len(parts) < cellParts {
		return ""
	}
	fault, _, _ := strings.Cut(parts[2], "/")
	return cellName(parts[0], parts[1], columnOf(fault))
}

// byCell groups the outcomes of the leaves by cell.
func (v *verdicts) byCell() map[string][]outcome {
	cells := map[string][]outcome{}
	for _, name := range v.leaves() {
		if cell := name.cell(); cell != "" {
			cells[cell] = append(cells[cell], v.outcomes[name])
		}
	}
	return cells
}

// count returns the numbers of leaves that passed and failed; a broken package counts as one failure.
func (v *verdicts) count() (passed, failed int) {
	for _, name := range v.leaves() {
		switch v.outcomes[name] {
		case outcomePassed:
			passed++
		case outcomeFailed:
			failed++
		case outcomeSkipped:
		}
	}
	return passed, failed + len(v.broken)
}
