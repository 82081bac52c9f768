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
			listenAddress, err := netip.ParseAddrPort(address)
			if err != nil {
				return err
			}
			config.VM = settings.VM
			return serve(command.Context(), listenAddress, config, settings)
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.VM, "vm", "runner", "name of the VM")
	flags.StringVar(&settings.Zone, "zone", "zone", "availability zone")
	flags.StringVar(&address, "address", "127.0.0.1:7200", "IP address and port to serve")
	flags.StringSliceVar(&config.Models, "models", nil, "models to load at the start")
	flags.StringVar(&config.WeightStore, "weight-store", "", "URL of the weight store, empty for none")
	flags.IntVar(&config.BatchLimit, "batch-limit", config.BatchLimit, "requests that run at the same time")
	flags.IntVar(&config.KVCapacityTokens, "memory-tokens", config.KVCapacityTokens, "tokens that fit into the KV memory")
	flags.IntVar(&config.PrefillRate, "prefill-rate", config.PrefillRate, "prompt tokens a second")
	flags.DurationVar(&config.TokenInterval, "token-interval", config.TokenInterval, "time between the tokens of an answer")
	flags.Float64Var(&config.SlowFactor, "slow-factor", config.SlowFactor, "multiplies the token interval")
	flags.DurationVar(&config.ColdStart, "cold-start", config.ColdStart, "time to load a model")
	flags.DurationVar(&config.LoadReportInterval, "report-lag", config.LoadReportInterval, "age of the load report")
	flags.DurationVar(&config.EventDelay, "event-lag", config.EventDelay, "age at which cache events are published")
	flags.IntVar(&config.DropEventEvery, "event-gap", config.DropEventEvery, "every how many cache events one is missing, 0 for never")
	flags.IntVar(&config.BreakStreamEvery, "break-every", config.BreakStreamEvery, "every how many streams one breaks in the middle, 0 for never")
	flags.BoolVar(&config.CheckFencingTokens, "check-fencing-numbers", false, "refuse orders with an old fencing number")
	flags.BoolVar(&config.ResumeStreams, "resume-streams", true, "keep a broken stream so that it can be resumed")
	flags.StringVar(&config.CrashMarker, "crash-marker", "", "text in a prompt that ends the process, empty for none")
	flags.DurationVar(&config.MinDrainTime, "leave-notice", config.MinDrainTime, "least time in the state leaving before the stop")
	return command
}

func serve(parent context.Context, listenAddress netip.AddrPort, config Config, settings *loader.Settings) error {
	ctx, cancel := listener.SignalContext(parent)
	defer cancel()
	logger := loader.NewLogger(settings)
	engine := NewEngine(config)
	engineContext, stopEngine := context.WithCancel(context.WithoutCancel(parent))
	defer stopEngine()
	go engine.Run(engineContext)
	go engine.LoadAll(engineContext, config.Models)
	server := NewServer(engine, logger)
	go server.updateLoadMetrics(engineContext)
	return listener.Run(ctx, listener.Config{
		Address:        listenAddress,
		Handler:        server.Handler(),
		Logger:         logger,
		BeforeShutdown: engine.Drain,
	})
}
