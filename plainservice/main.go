// Command plainservice is the stand-in for a plain service, such as one that takes bookings.
package main

import (
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"
	"sequoiaspread.example/sequoia/listener"
	"sequoiaspread.example/sequoia/loader"
)

// defaultLeaveNotice is longer than the time that callers have to notice.
const defaultLeaveNotice = 4 * time.Second

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	settings := &loader.Settings{}
	var address, journal string
	var service Config
	command := &cobra.Command{
		Use:          "plainservice",
		Short:        "Serve any path and count the executions of each key",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := listener.SignalContext(command.Context())
			defer cancel()
			where, err := netip.ParseAddrPort(address)
			if err != nil {
				return err
			}
			logger := loader.NewLogger(settings)
			if journal != "" {
				file, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return err
				}
				defer file.Close()
				service.Journal = file
			}
			service.VM = settings.VM
			server := New(service)
			return listener.Run(ctx, listener.Config{Address: where, Handler: server.Handler(), Logger: logger, BeforeShutdown: server.Leave})
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.VM, "vm", "plainservice", "name of the VM")
	flags.StringVar(&settings.Zone, "zone", "zone", "availability zone")
	flags.StringVar(&address, "address", "127.0.0.1:7210", "IP address and port to serve")
	flags.BoolVar(&service.HonoursKeys, "honour-keys", false, "answer a repeated idempotency key from memory")
	flags.DurationVar(&service.Delay, "delay", 0, "time that each execution takes")
	flags.StringVar(&journal, "journal", "", "file that gets a line for each execution")
	flags.DurationVar(&service.LeaveNotice, "leave-notice", defaultLeaveNotice, "time in the state leaving before the stop")
	return command
}
