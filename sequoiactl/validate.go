package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sequoiaspread.example/sequoia/parser"
)

// summary is the output of validate for a valid document.
type summary struct {
	Name          string `json:"name"`
	Version       uint64 `json:"version"`
	VMs           int    `json:"vms"`
	Pools         int    `json:"pools"`
	Services      int    `json:"services"`
	Organisations int    `json:"organisations"`
}

func newValidateCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document and list all of its faults with file, line, key and what would be valid",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := parser.ParseFile(args[0])
			if err != nil {
				return err
			}
			s := summary{
				Name: doc.Environment.Name, Version: doc.Environment.Version, VMs: len(doc.VMs),
				Pools: len(doc.Pools), Services: len(doc.Services), Organisations: len(doc.Organisations),
			}
			return o.writeOutput(cmd.OutOrStdout(), s, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%s version %d is valid: %d VMs, %d pools, %d services, %d organisations\n",
					s.Name, s.Version, s.VMs, s.Pools, s.Services, s.Organisations)
			})
		},
	}
}
