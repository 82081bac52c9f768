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
	// runLimit and stopLimit together stay within the stated bound of 60 s for one whole run.
	runLimit = 38 * time.Second
	// stopLimit bounds the graceful stop of all processes: a gateway stays for the lifetime of directory answers.
	stopLimit = 21 * time.Second
	// breakEvery makes one in so many streams break at the engine, so that resuming is exercised.
	breakEvery = 25
)

var errChecks = eris.New("not every check held")

// upstreamsToday are the pool sizes of the shipped documents.
var upstreamsToday = map[string]int{"paws-assist": 18, "kiosk-core": 3, "cordsage": 10, "partsdesk": 3}

// runOptions are the flags of the command run.
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
	ctx, cancel := context.WithTimeout(parent, runLimit)
	defer cancel()
	err = runIn(ctx, out, options, folder)
	if err == nil && !options.keep {
		return os.RemoveAll(folder)
	}
	fmt.Fprintln(out, "logs:", filepath.Join(folder, "logs"))
	return err
}

func runIn(ctx context.Context, out io.Writer, options runOptions, folder string) error {
	bin, err := filepath.Abs(options.bin)
	if err != nil {
		return err
	}
	fleet, err := harness.New(ctx, harness.Config{
		Bin: bin, Folder: folder,
		Document:    filepath.Join(options.documents, options.deployment+".toml"),
		Upstreams:   upstreamsToday,
		RunnerFlags: []string{fmt.Sprintf("--break-every=%d", breakEvery)},
	}, newLogger())
	if err != nil {
		return err
	}
	runErr := useFleet(ctx, out, fleet)
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	stopErr := fleet.Stop(stopContext)
	fmt.Fprintln(out, verdict("every process stopped with status 0", stopErr == nil))
	return errors.Join(runErr, stopErr)
}

func newLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger
}

// useFleet starts a fleet, measures it idle, sends the session and checks it.
func useFleet(ctx context.Context, out io.Writer, fleet *harness.Fleet) error {
	start := time.Now()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "ready after %s: %s\n", time.Since(start).Round(time.Millisecond), describe(fleet))
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

// sendSession sends the load and makes the planned stops beside it.
func sendSession(ctx context.Context, out io.Writer, fleet *harness.Fleet, result *session.Result) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return session.New(fleet.Document, session.DefaultPlan(), result).Run(ctx) })
	group.Go(func() error { return makePlannedStops(ctx, out, fleet) })
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
			return errChecks
		}
	}
	return nil
}

func verdict(name string, held bool) string {
	if held {
		return "ok   " + name
	}
	return "FAIL " + name
}

func describe(fleet *harness.Fleet) string {
	var parts []string
	for _, program := range []harness.Program{
		harness.ProgramGateway, harness.ProgramController, harness.ProgramRunner, harness.ProgramService, harness.ProgramVMList,
	} {
		parts = append(parts, fmt.Sprintf("%d %s", len(fleet.Processes(program)), program))
	}
	return strings.Join(parts, ", ")
}

// zoneOf returns a function that maps the name of an upstream or entry VM to its availability zone.
func zoneOf(fleet *harness.Fleet) func(string) string {
	zones := map[string]string{}
	for _, upstream := range fleet.Upstreams {
		zones[upstream.Spec.VM] = upstream.Spec.Zone
	}
	return func(vm string) string { return zones[vm] }
}
