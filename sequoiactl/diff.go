package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sequoiaspread.example/sequoia/parser"
)

// documentReply is the response body with the enforced document.
type documentReply struct {
	Version  uint64 `json:"version"`
	Document string `json:"document"`
}

func newDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE [FILE]",
		Short: "Compare a document with the one in force, or two documents with each other",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			after, err := parser.ParseFile(args[len(args)-1])
			if err != nil {
				return err
			}
			before, err := o.baseDocument(cmd.Context(), args)
			if err != nil {
				return err
			}
			changes := parser.Diff(before, after)
			return o.writeOutput(cmd.OutOrStdout(), changes, func(w io.Writer) { printChanges(w, changes) })
		},
	}
}

func (o *options) baseDocument(ctx context.Context, args []string) (*parser.Document, error) {
	if len(args) == 2 {
		return parser.ParseFile(args[0])
	}
	reply, err := o.fetchDocument(ctx)
	if err != nil {
		return nil, err
	}
	return parser.Parse("document in force", []byte(reply.Document))
}

func (o *options) fetchDocument(ctx context.Context) (documentReply, error) {
	var reply documentReply
	c, err := o.newClient()
	if err != nil {
		return reply, err
	}
	err = c.get(ctx, "/v1/document", &reply)
	return reply, err
}

func printChanges(w io.Writer, changes []parser.Change) {
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no changes")
	}
	for _, change := range changes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t-> %s\n", change.Key, orAbsent(change.Before), orAbsent(change.After))
	}
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

func newDocumentCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "document",
		Short: "Print the document in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reply, err := o.fetchDocument(cmd.Context())
			if err != nil {
				return err
			}
			return o.writeOutput(cmd.OutOrStdout(), reply, func(w io.Writer) { _, _ = io.WriteString(w, reply.Document) })
		},
	}
}
