package main

import (
	"io"

	"github.com/spf13/cobra"
)

// options holds the values of the flags that all commands share.
type options struct {
	controllers []string
	gateways    []string
	keyFile     string
	output      string
}

func newRootCommand(out io.Writer) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "sequoiactl",
		Short:         "Operate a sequoiaspread environment by changing and promoting its document",
		Long:          "Operate a sequoiaspread environment by changing and promoting its document.\n\n" + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.controllers, "controller", []string{"127.0.0.1:7091"}, "operator addresses of controllers, tried in order")
	flags.StringSliceVar(&o.gateways, "gateway", []string{"127.0.0.1:7083"}, "admin addresses of gateways, for explain")
	flags.StringVar(&o.keyFile, "key-file", "operator.key", "file with the operator key")
	flags.StringVarP(&o.output, "output", "o", outputHuman, "output format: human or json")
	root.AddCommand(
		newValidateCommand(o), newDiffCommand(o), newTrialCommand(o), newPromoteCommand(o),
		newStatusCommand(o), newHistoryCommand(o), newDocumentCommand(o), newExplainCommand(o), newReportCommand(o),
	)
	return root
}
