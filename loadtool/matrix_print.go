package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

const (
	cellProved     = "ok"
	cellFailed     = "FAIL"
	cellUnproved   = "unproved"
	cellImpossible = "."
)

// printMatrix prints each cell of the matrix, then the tests without a cell, then the counts.
func printMatrix(out io.Writer, v *verdicts) {
	results := v.byCell()
	for _, each := range matrix {
		printProperty(out, each, results)
	}
	fmt.Fprintf(out, "%s: the step uses no data folder, so the fault cannot strike it\n\n", cellImpossible)
	printOthers(out, v)
	printFailures(out, v)
	unproved := 0
	names := cells()
	for _, name := range names {
		if cellState(results[name]) == cellUnproved {
			unproved++
		}
	}
	fmt.Fprintf(out, "%d of %d cells unproved\n", unproved, len(names))
	passed, failed := v.count()
	fmt.Fprintf(out, "%d passed, %d failed\n", passed, failed)
}

// printProperty prints the faults as lines and the steps as columns.
func printProperty(out io.Writer, each property, results map[string][]outcome) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, each.name)
	for _, step := range each.steps {
		fmt.Fprint(table, "\t"+step.name)
	}
	fmt.Fprintln(table)
	for _, fault := range faultColumns {
		fmt.Fprint(table, "  "+fault)
		for _, step := range each.steps {
			state := cellImpossible
			if step.applies(fault) {
				state = cellState(results[cellName(each.name, step.name, fault)])
			}
			fmt.Fprint(table, "\t"+state)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}

// cellState sums up the tests of a cell; a skipped test proves nothing.
func cellState(outcomes []outcome) string {
	switch {
	case slices.Contains(outcomes, outcomeFailed):
		return cellFailed
	case slices.Contains(outcomes, outcomePassed):
		return cellProved
	default:
		return cellUnproved
	}
}

// printOthers prints the tests whose names are not in the table.
func printOthers(out io.Writer, v *verdicts) {
	known := cells()
	for _, name := range v.leaves() {
		if !slices.Contains(known, name.cell()) {
			fmt.Fprintf(out, "not in the table: %s %s (%s)\n", v.outcomes[name], name.test, shortPackage(name.pkg))
		}
	}
	fmt.Fprintln(out)
}

func printFailures(out io.Writer, v *verdicts) {
	for _, name := range v.leaves() {
		if v.outcomes[name] == outcomeFailed {
			fmt.Fprintf(out, "failed: %s (%s)\n%s", name.test, shortPackage(name.pkg), strings.Join(v.output[name], ""))
		}
	}
	for _, pkg := range v.broken {
		fmt.Fprintf(out, "failed: package %s\n%s", shortPackage(pkg), strings.Join(v.output[testName{pkg: pkg}], ""))
	}
}

func shortPackage(pkg string) string {
	_, short, found := strings.Cut(pkg, "/")
	if !found {
		return pkg
	}
	return short
}
