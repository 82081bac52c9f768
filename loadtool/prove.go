package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

const (
	provePattern = "^TestMatrix|^TestSchedules"
	// schedulesVariable sets the number of random schedules for tests that use them.
	schedulesVariable = "SEQUOIA_SCHEDULES"
	// proveVariable enables tests that are too slow for a normal test run.
	proveVariable = "SEQUOIA_PROVE"
	// proveTimeout is the timeout of the tests of one package.
	proveTimeout = 30 * time.Minute
)

var errTestsFailed = eris.New("not all tests passed")

// workFile is the part of go.work that lists the modules.
type workFile struct {
	Use []struct{ DiskPath string }
}

func newProveCommand() *cobra.Command {
	schedules := 0
	command := &cobra.Command{
		Use:   "prove",
		Short: "Run the fault matrix of all modules and print it cell by cell",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return prove(command.Context(), command.OutOrStdout(), schedules)
		},
	}
	command.Flags().IntVar(&schedules, "schedules", 10_000, "random schedules of each test that uses them")
	return command
}

func prove(ctx context.Context, out io.Writer, schedules int) error {
	modules, err := listModules(ctx)
	if err != nil {
		return err
	}
	results := newTestResults()
	for _, module := range modules {
		start := time.Now()
		if err := proveModule(ctx, module, schedules, results); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %s\n", module, time.Since(start).Round(time.Second))
	}
	fmt.Fprintln(out)
	printMatrix(out, results)
	if _, failed := results.count(); failed > 0 {
		return errTestsFailed
	}
	return nil
}

func listModules(ctx context.Context) ([]string, error) {
	output, err := exec.CommandContext(ctx, "go", "work", "edit", "-json").Output()
	if err != nil {
		return nil, eris.Wrap(err, "read go.work")
	}
	var file workFile
	if err := json.Unmarshal(output, &file); err != nil {
		return nil, eris.Wrap(err, "read go.work")
	}
	var modules []string
	for _, use := range file.Use {
		modules = append(modules, use.DiskPath)
	}
	return modules, nil
}

// proveModule runs the tests of one module. The error of go test after a failed test is ignored, because the results
// already contain that failure.
func proveModule(ctx context.Context, module string, schedules int, results *testResults) error {
	command := exec.CommandContext(ctx, "go", "test", "-json", "-count=1", "-timeout", proveTimeout.String(), "-run", provePattern, "./...")
	command.Dir = module
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", schedulesVariable, schedules), proveVariable+"=1")
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "read tests of "+module)
	}
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "run tests of "+module)
	}
	if err := results.read(output); err != nil {
		return eris.Wrap(err, "read tests of "+module)
	}
	if err := command.Wait(); err != nil && !results.hasFailure() {
		results.failedPackages = append(results.failedPackages, module)
	}
	return nil
}

func (r *testResults) hasFailure() bool {
	_, failed := r.count()
	return failed > 0
}
