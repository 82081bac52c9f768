// Command plainservice is the stand-in for a plain service, such as one that takes bookings.
package main

import (
	"net/netip"
	"os"

	"github.com/spf13/cobra"
	"sequoiaspread.example/sequoia/listener"
	"sequoiaspread.example/sequoia/loader"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	settings := &loader.Settings{}
	var address string
	var service Config
	command := &cobra.Command{
		Use:          "plainservice",
		Short:        "Serve any path and count the executions of each key",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := listener.Notify(command.Context())
			defer cancel()
			where, err := netip.ParseAddrPort(address)
			if err != nil {
				return err
			}
			logger := loader.NewLogger(settings)
			return listener.Run(ctx, listener.Config{Address: where, Handler: New(service).Handler(), Logger: logger})
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.VM, "vm", "plainservice", "name of the VM")
	flags.StringVar(&settings.Zone, "zone", "zone", "availability zone")
	flags.StringVar(&address, "address", "127.0.0.1:7210", "IP address and port to serve")
	flags.BoolVar(&service.HonoursKeys, "honour-keys", false, "answer a repeated idempotency key from memory")
	flags.DurationVar(&service.Delay, "delay", 0, "time that each execution takes")
	return command
}
