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
	cellProved     = "ok"
	cellFailed     = "FAIL"
	cellUnproved   = "unproved"
	cellImpossible = "."
	namesPrinted   = 8
)

// printMatrix prints each cell of the matrix, then the tests without a cell, then the counts.
func printMatrix(out io.Writer, v *verdicts) {
	results := v.byCell()
	for _, each := range matrix {
		printProperty(out, each, results)
	}
	fmt.Fprintf(out, "%s: at least one test of the cell passed and none failed\n", cellProved)
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

// printOthers prints the tests whose names are not in the table, those of one step together.
func printOthers(out io.Writer, v *verdicts) {
	known := cells()
	groups := map[string][]string{}
	for _, name := range v.leaves() {
		if slices.Contains(known, name.cell()) {
			continue
		}
		parent, last := path.Split(name.test)
		group := fmt.Sprintf("%s %s (%s)", v.outcomes[name], parent, shortPackage(name.pkg))
		groups[group] = append(groups[group], last)
	}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		fmt.Fprintf(out, "not in the table: %s: %s\n", group, listNames(groups[group]))
	}
	fmt.Fprintln(out)
}

// listNames writes names in one line, or their number and the first ones when there are many.
func listNames(names []string) string {
	if len(names) <= namesPrinted {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%d tests: %s, ...", len(names), strings.Join(names[:namesPrinted], ", "))
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
