package main

import (
	"github.com/spf13/cobra"

	"sequoiaspread.example/loadtool/measurer"
)

// NewMeasureCommand returns the command that compares the policies in a simulation.
func NewMeasureCommand() *cobra.Command {
	return measurer.NewCommand()
}
