package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"sequoiaspread.example/loadtool/session"
	"sequoiaspread.example/sequoia/parser"
)

func newLoadCommand() *cobra.Command {
	var path string
	var scale float64
	plan := session.DefaultPlan()
	command := &cobra.Command{
		Use:   "load",
		Short: "Send the mixed session to a running deployment",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			document, err := parser.ParseFile(path)
			if err != nil {
				return err
			}
			plan.UrgentRate *= scale
			plan.BatchRate *= scale
			plan.BookingRate *= scale
			plan.LookupRate *= scale
			result := session.NewResult(document.RegionOf, zoneFromName(document))
			if err := session.New(document, plan, result).Run(command.Context()); err != nil {
				return err
			}
			return reportLoad(command, result)
		},
	}
	flags := command.Flags()
	flags.StringVar(&path, "document", "deployments/nile-paws.toml", "document of the running deployment")
	flags.DurationVar(&plan.Duration, "duration", plan.Duration, "time for which requests start")
	flags.Float64Var(&scale, "scale", 1, "multiplies the rates of all kinds of requests")
	flags.Uint64Var(&plan.Seed, "seed", plan.Seed, "seed of the arrival times")
	return command
}

// reportLoad prints the metrics and returns an error if a request failed. The booking counts are 0 and no checks are
// made, because the executions at the plain services are not available.
func reportLoad(command *cobra.Command, result *session.Result) error {
	result.Print(command.OutOrStdout(), session.BookingCounts{}, nil)
	failures, total := result.Failures()
	if total == 0 {
		return nil
	}
	fmt.Fprintln(command.OutOrStdout(), strings.Join(failures, "\n"))
	return errCheckFailed
}

// zoneFromName returns a function that extracts the availability zone from an upstream name of the form
// pool-zone-number.
func zoneFromName(document *parser.Document) func(string) string {
	return func(vm string) string {
		for _, zone := range document.Zones() {
			if strings.Contains(vm, "-"+zone+"-") {
				return zone
			}
		}
		return ""
	}
}
