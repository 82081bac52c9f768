package main

import (
	"encoding/json"
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
	var address, file string
	var config Config
	command := &cobra.Command{
		Use:          "vmlist",
		Short:        "Serve the VM list with a lag and weights at a limited rate",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := listener.SignalContext(command.Context())
			defer cancel()
			listenAddress, err := netip.ParseAddrPort(address)
			if err != nil {
				return err
			}
			if config.VMs, err = readVMs(file); err != nil {
				return err
			}
			logger := loader.NewLogger(settings)
			return listener.Run(ctx, listener.Config{Address: listenAddress, Handler: New(config).Handler(), Logger: logger})
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.VM, "vm", "platform", "name of the VM")
	flags.StringVar(&settings.Zone, "zone", "zone", "availability zone")
	flags.StringVar(&address, "address", "127.0.0.1:7300", "IP address and port to serve")
	flags.StringVar(&file, "vms", "", "JSON file with the VMs at the start")
	flags.DurationVar(&config.PropagationTime, "lag", defaultPropagationTime, "age of the list that is served")
	flags.Float64Var(&config.WeightReadsPerSecond, "weight-rate", defaultWeightRate, "weight reads a second")
	return command
}

func readVMs(file string) ([]VM, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var vms []VM
	return vms, json.Unmarshal(text, &vms)
}
