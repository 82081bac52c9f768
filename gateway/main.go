package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"sequoiaspread.example/sequoia/loader"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "gateway", Short: "Serve callers on an entry VM", SilenceUsage: true, SilenceErrors: true}
	var settingsFile string
	run := &cobra.Command{
		Use:   "run",
		Short: "Run until SIGTERM, then stop without interrupting requests",
		RunE: func(command *cobra.Command, _ []string) error {
			return runUntilSignal(command.Context(), settingsFile)
		},
	}
	run.Flags().StringVar(&settingsFile, "settings", "", "settings file of this process")
	_ = run.MarkFlagRequired("settings")
	root.AddCommand(run)
	return root
}

func runUntilSignal(parent context.Context, settingsFile string) error {
	settings, err := loader.Load(settingsFile)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	gateway, err := newGateway(settings, loader.NewLogger(settings))
	if err != nil {
		return err
	}
	return gateway.run(ctx)
}
