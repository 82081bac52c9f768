package main

import (
	"github.com/spf13/cobra"

	"sequoiaspread.example/loadtool/measurer"
)

// NewMeasureCommand returns the command that measures the policies in virtual time.
func NewMeasureCommand() *cobra.Command {
	return measurer.NewCommand()
}
