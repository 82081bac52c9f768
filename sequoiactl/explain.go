package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

func newExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show why a recent request was routed as it was, or refused",
		Long:  "Show why a recent request was routed as it was, or refused. Each gateway knows its own requests: name the one that answered with --gateway.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c := &client{addresses: o.gateways, http: newHTTPClient()}
			var explanation json.RawMessage
			if err := c.get(cmd.Context(), "/v1/explain/"+args[0], &explanation); err != nil {
				return err
			}
			return o.writeOutput(cmd.OutOrStdout(), explanation, func(w io.Writer) { printExplanation(w, explanation) })
		},
	}
}

func printExplanation(w io.Writer, explanation json.RawMessage) {
	var fields map[string]any
	if err := json.Unmarshal(explanation, &fields); err != nil {
		_, _ = fmt.Fprintln(w, string(explanation))
		return
	}
	for _, key := range sortedKeys(fields) {
		_, _ = fmt.Fprintf(w, "%s\t%v\n", key, fields[key])
	}
}
