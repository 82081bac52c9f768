package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Output formats.
const (
	outputHuman = "human"
	outputJSON  = "json"
)

// writeOutput writes a value as JSON, or calls render to write it as text that a tabwriter aligns.
func (o *options) writeOutput(out io.Writer, value any, render func(w io.Writer)) error {
	switch o.output {
	case outputJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return wrapError("write output", kindOutput, err)
		}
		return nil
	case outputHuman:
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		render(table)
		if err := table.Flush(); err != nil {
			return wrapError("write output", kindOutput, err)
		}
		return nil
	default:
		return newError("write output", kindSettings, fmt.Sprintf("output %q is not known; valid: human, json", o.output))
	}
}
