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
	if err := execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func execute() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return newCommand().ExecuteContext(ctx)
}

func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "controller", Short: "Agreement, booking records and operators' interface", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newRunCommand(), newInitCommand())
	return root
}

func newRunCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "run", Short: "Run a controller until SIGTERM", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := loadSettings(path)
			if err != nil {
				return err
			}
			c, err := newController(settings, loader.NewLogger(settings))
			if err != nil {
				return err
			}
			return c.run(command.Context())
		},
	}
	addSettingsFlag(command, &path)
	return command
}

func newInitCommand() *cobra.Command {
	var path, document string
	command := &cobra.Command{
		Use: "init", Short: "Create the data folder of an initial member", Args: cobra.NoArgs,
		Long: "Create the data folder of an initial member. Never run it again for a VM that lost its disk: such a VM\njoins by itself when the controller starts on an empty data folder.",
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := loadSettings(path)
			if err != nil {
				return err
			}
			return initialise(command.Context(), settings, document)
		},
	}
	addSettingsFlag(command, &path)
	command.Flags().StringVar(&document, "document", "", "document that becomes version 1")
	_ = command.MarkFlagRequired("document")
	return command
}

func addSettingsFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "settings", "", "settings file")
	_ = command.MarkFlagRequired("settings")
}

func loadSettings(path string) (*loader.Settings, error) {
	settings, err := loader.Load(path)
	if err != nil {
		return nil, err
	}
	switch {
	case settings.DataFolder == "":
		return nil, newError("load settings", kindSettings, "data-folder is required")
	case !settings.ControllerAddress.IsValid():
		return nil, newError("load settings", kindSettings, "controller-address is required")
	case !settings.AdminAddress.IsValid():
		return nil, newError("load settings", kindSettings, "admin-address is required")
	}
	return settings, nil
}
