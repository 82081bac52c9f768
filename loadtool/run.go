package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/loadtool/session"
)

const (
	// runTimeout plus stopTimeout stays within the specified limit of 60 s for a complete run.
	runTimeout = 38 * time.Second
	// stopTimeout is the timeout of the graceful stop of all processes. It allows for a gateway to drain for the lifetime
	// of directory responses.
	stopTimeout = 21 * time.Second
	// One in breakEvery streams breaks at the engine, to exercise stream resumption.
	breakEvery = 25
)

var errCheckFailed = eris.New("not all checks passed")

// upstreamCounts holds the number of upstreams of each pool of the shipped documents.
var upstreamCounts = map[string]int{"paws-assist": 18, "kiosk-core": 3, "cordsage": 10, "partsdesk": 3}

// runOptions holds the flags of the command run.
type runOptions struct {
	deployment string
	bin        string
	documents  string
	keep       bool
}

func newRunCommand() *cobra.Command {
	options := runOptions{}
	command := &cobra.Command{
		Use:   "run",
		Short: "Start a deployment, send a mixed session with planned stops, check every answer",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return run(command.Context(), command.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.deployment, "deployment", "nile-paws", "name of the document in the folder of documents")
	flags.StringVar(&options.bin, "bin", "bin", "folder with the programs")
	flags.StringVar(&options.documents, "documents", "deployments", "folder of documents")
	flags.BoolVar(&options.keep, "keep", false, "keep logs and data folders")
	return command
}

func run(parent context.Context, out io.Writer, options runOptions) error {
	folder, err := os.MkdirTemp("", "sequoiaspread-run-")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(parent, runTimeout)
	defer cancel()
	err = runInFolder(ctx, out, options, folder)
	if err == nil && !options.keep {
		return os.RemoveAll(folder)
	}
	fmt.Fprintln(out, "logs:", filepath.Join(folder, "logs"))
	return err
}

func runInFolder(ctx context.Context, out io.Writer, options runOptions, folder string) error {
	bin, err := filepath.Abs(options.bin)
	if err != nil {
		return err
	}
	fleet, err := harness.New(ctx, harness.Config{
		Bin: bin, Folder: folder,
		Document:    filepath.Join(options.documents, options.deployment+".toml"),
		Upstreams:   upstreamCounts,
		RunnerFlags: []string{fmt.Sprintf("--break-every=%d", breakEvery)},
	}, newLogger())
	if err != nil {
		return err
	}
	runErr := exerciseFleet(ctx, out, fleet)
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	stopErr := fleet.Stop(stopContext)
	fmt.Fprintln(out, checkLine("every process stopped with status 0", stopErr == nil))
	return errors.Join(runErr, stopErr)
}

func newLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger
}

// exerciseFleet starts a fleet, measures its idle resource usage, sends the session and checks its result.
func exerciseFleet(ctx context.Context, out io.Writer, fleet *harness.Fleet) error {
	start := time.Now()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "ready after %s: %s\n", time.Since(start).Round(time.Millisecond), describeFleet(fleet))
	if err := printIdle(ctx, out, fleet); err != nil {
		return err
	}
	result := session.NewResult(fleet.Document.RegionOf, zoneOf(fleet))
	if err := sendSession(ctx, out, fleet, result); err != nil {
		return err
	}
	executions, err := fleet.Executions()
	if err != nil {
		return err
	}
	return report(out, result, result.CountBookings(executions))
}

// sendSession sends the load and runs the graceful stops concurrently.
func sendSession(ctx context.Context, out io.Writer, fleet *harness.Fleet, result *session.Result) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return session.New(fleet.Document, session.DefaultPlan(), result).Run(ctx) })
	group.Go(func() error { return runGracefulStops(ctx, out, fleet) })
	return group.Wait()
}

func report(out io.Writer, result *session.Result, counts session.BookingCounts) error {
	checks := result.Checks(counts)
	result.Print(out, counts, checks)
	failures, total := result.Failures()
	for _, failure := range failures {
		fmt.Fprintln(out, "  ", failure)
	}
	if total > len(failures) {
		fmt.Fprintf(out, "   and %d more\n", total-len(failures))
	}
	for _, check := range checks {
		if !check.Passed {
			return errCheckFailed
		}
	}
	return nil
}

func checkLine(name string, passed bool) string {
	if passed {
		return "ok   " + name
	}
	return "FAIL " + name
}

func describeFleet(fleet *harness.Fleet) string {
	var parts []string
	for _, program := range []harness.Program{
		harness.ProgramGateway, harness.ProgramController, harness.ProgramRunner, harness.ProgramService, harness.ProgramVMList,
	} {
		parts = append(parts, fmt.Sprintf("%d %s", len(fleet.Processes(program)), program))
	}
	return strings.Join(parts, ", ")
}

// zoneOf returns a function that maps the name of an upstream to its availability zone.
func zoneOf(fleet *harness.Fleet) func(string) string {
	zones := map[string]string{}
	for _, upstream := range fleet.Upstreams {
		zones[upstream.Spec.VM] = upstream.Spec.Zone
	}
	return func(vm string) string { return zones[vm] }
}
