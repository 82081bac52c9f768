package main

import (
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"
	"sequoiaspread.example/sequoia/listener"
	"sequoiaspread.example/sequoia/loader"
)

// defaultDrainTime is longer than lateThreshold, the time that callers have to notice the drain.
const defaultDrainTime = 4 * time.Second

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	settings := &loader.Settings{}
	var address, journalPath string
	var config Config
	command := &cobra.Command{
		Use:          "plainservice",
		Short:        "Serve any path and count the executions of each key",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := listener.SignalContext(command.Context())
			defer cancel()
			listenAddress, err := netip.ParseAddrPort(address)
			if err != nil {
				return err
			}
			logger := loader.NewLogger(settings)
			if journalPath != "" {
				file, err := os.OpenFile(journalPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return err
				}
				defer file.Close()
				config.Journal = file
			}
			config.VM = settings.VM
			server := New(config)
			return listener.Run(ctx, listener.Config{Address: listenAddress, Handler: server.Handler(), Logger: logger, BeforeShutdown: server.Drain})
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.VM, "vm", "plainservice", "name of the VM")
	flags.StringVar(&settings.Zone, "zone", "zone", "availability zone")
	flags.StringVar(&address, "address", "127.0.0.1:7210", "IP address and port to serve")
	flags.BoolVar(&config.HonoursIdempotencyKeys, "honour-keys", false, "answer a repeated idempotency key from memory")
	flags.DurationVar(&config.Delay, "delay", 0, "time that each execution takes")
	flags.StringVar(&journalPath, "journal", "", "file that gets a line for each execution")
	flags.DurationVar(&config.DrainTime, "leave-notice", defaultDrainTime, "time in the state leaving before the stop")
	return command
}
