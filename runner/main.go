// Command runner is the stand-in for a model engine with an OpenAI-compatible interface.
package main

import (
	"context"
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
	config := DefaultConfig()
	command := &cobra.Command{
		Use:          "runner",
		Short:        "Serve chat completions with continuous batching and a prefix cache",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			where, err := netip.ParseAddrPort(address)
			if err != nil {
				return err
			}
			config.VM = settings.VM
			return serve(command.Context(), where, config, settings)
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.VM, "vm", "runner", "name of the VM")
	flags.StringVar(&settings.Zone, "zone", "zone", "availability zone")
	flags.StringVar(&address, "address", "127.0.0.1:7200", "IP address and port to serve")
	flags.StringSliceVar(&config.Models, "models", nil, "models to load at the start")
	flags.StringVar(&config.WeightStore, "weight-store", "", "URL of the weight store, empty for none")
	flags.IntVar(&config.BatchLimit, "batch-limit", config.BatchLimit, "requests that run at the same time")
	flags.IntVar(&config.MemoryTokens, "memory-tokens", config.MemoryTokens, "tokens that fit into the KV memory")
	flags.IntVar(&config.PrefillRate, "prefill-rate", config.PrefillRate, "prompt tokens a second")
	flags.DurationVar(&config.TokenInterval, "token-interval", config.TokenInterval, "time between the tokens of an answer")
	flags.Float64Var(&config.SlowFactor, "slow-factor", config.SlowFactor, "multiplies the token interval")
	flags.DurationVar(&config.ColdStart, "cold-start", config.ColdStart, "time to load a model")
	flags.DurationVar(&config.ReportLag, "report-lag", config.ReportLag, "age of the load report")
	flags.DurationVar(&config.EventLag, "event-lag", config.EventLag, "age at which cache events are published")
	flags.IntVar(&config.EventGap, "event-gap", config.EventGap, "every how many cache events one is missing, 0 for never")
	flags.IntVar(&config.BreakEvery, "break-every", config.BreakEvery, "every how many streams one breaks in the middle, 0 for never")
	flags.BoolVar(&config.ChecksFencingNumbers, "check-fencing-numbers", false, "refuse orders with an old fencing number")
	flags.BoolVar(&config.ResumesStreams, "resume-streams", true, "keep a broken stream so that it can be resumed")
	flags.StringVar(&config.CrashMarker, "crash-marker", "", "text in a prompt that ends the process, empty for none")
	flags.DurationVar(&config.LeaveNotice, "leave-notice", config.LeaveNotice, "least time in the state leaving before the stop")
	return command
}

func serve(parent context.Context, where netip.AddrPort, config Config, settings *loader.Settings) error {
	ctx, cancel := listener.SignalContext(parent)
	defer cancel()
	logger := loader.NewLogger(settings)
	engine := NewEngine(config)
	work, stop := context.WithCancel(context.WithoutCancel(parent))
	defer stop()
	go engine.Run(work)
	go engine.LoadAll(work, config.Models)
	server := NewServer(engine, logger)
	go server.reportLoad(work)
	return listener.Run(ctx, listener.Config{
		Address:        where,
		Handler:        server.Handler(),
		Logger:         logger,
		BeforeShutdown: engine.Leave,
	})
}
