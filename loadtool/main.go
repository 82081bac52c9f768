package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "loadtool", Short: "Load, faults and measurements", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newRunCommand(), newLoadCommand(), newProveCommand(), NewMeasureCommand())
	return root
}
