package main

import (
	"fmt"
	"io"
	"maps"
	"path"
	"slices"
	"strings"
	"text/tabwriter"
)

const (
	cellPassed        = "ok"
	cellFailed        = "FAIL"
	cellUntested      = "unproved"
	cellNotApplicable = "."
	maxNamesPrinted   = 8
)

// printMatrix prints each cell of the matrix, then the tests without a cell, the failures and the counts.
func printMatrix(out io.Writer, results *testResults) {
	outcomes := results.outcomesByCell()
	for _, property := range matrix {
		printProperty(out, property, outcomes)
	}
	fmt.Fprintf(out, "%s: at least one test of the cell passed and none failed\n", cellPassed)
	fmt.Fprintf(out, "%s: the step uses no data folder, so the fault cannot strike it\n\n", cellNotApplicable)
	printUnmatchedTests(out, results)
	printFailures(out, results)
	untested := 0
	names := cellNames()
	for _, name := range names {
		if cellState(outcomes[name]) == cellUntested {
			untested++
		}
	}
	fmt.Fprintf(out, "%d of %d cells unproved\n", untested, len(names))
	passed, failed := results.count()
	fmt.Fprintf(out, "%d passed, %d failed\n", passed, failed)
}

// printProperty prints the table of a property, with faults as rows and steps as columns.
func printProperty(out io.Writer, p property, outcomes map[string][]outcome) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, p.name)
	for _, step := range p.steps {
		fmt.Fprint(table, "\t"+step.name)
	}
	fmt.Fprintln(table)
	for _, fault := range faultColumns {
		fmt.Fprint(table, "  "+fault)
		for _, step := range p.steps {
			state := cellNotApplicable
			if step.applies(fault) {
				state = cellState(outcomes[cellName(p.name, step.name, fault)])
			}
			fmt.Fprint(table, "\t"+state)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}

// cellState combines the outcomes of the tests of a cell; skipped tests do not count.
func cellState(outcomes []outcome) string {
	switch {
	case slices.Contains(outcomes, outcomeFailed):
		return cellFailed
	case slices.Contains(outcomes, outcomePassed):
		return cellPassed
	default:
		return cellUntested
	}
}

// printUnmatchedTests prints the tests that match no cell, grouped by outcome, step and package.
func printUnmatchedTests(out io.Writer, results *testResults) {
	names := cellNames()
	groups := map[string][]string{}
	for _, name := range results.leafTests() {
		if slices.Contains(names, name.cell()) {
			continue
		}
		parent, last := path.Split(name.test)
		group := fmt.Sprintf("%s %s (%s)", results.outcomes[name], parent, shortPackage(name.pkg))
		groups[group] = append(groups[group], last)
	}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		fmt.Fprintf(out, "not in the table: %s: %s\n", group, listNames(groups[group]))
	}
	fmt.Fprintln(out)
}

// listNames formats names in one line; if there are too many, it returns their number and the first ones.
func listNames(names []string) string {
	if len(names) <= maxNamesPrinted {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%d tests: %s, ...", len(names), strings.Join(names[:maxNamesPrinted], ", "))
}

func printFailures(out io.Writer, results *testResults) {
	for _, name := range results.leafTests() {
		if results.outcomes[name] == outcomeFailed {
			fmt.Fprintf(out, "failed: %s (%s)\n%s", name.test, shortPackage(name.pkg), strings.Join(results.output[name], ""))
		}
	}
	for _, pkg := range results.failedPackages {
		fmt.Fprintf(out, "failed: package %s\n%s", shortPackage(pkg), strings.Join(results.output[testName{pkg: pkg}], ""))
	}
}

func shortPackage(pkg string) string {
	_, short, found := strings.Cut(pkg, "/")
	if !found {
		return pkg
	}
	return short
}
