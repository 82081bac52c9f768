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
	// schedulesVariable tells tests with random schedules how many to try.
	schedulesVariable = "SEQUOIA_SCHEDULES"
	// proveVariable lets tests run that are too slow for each run of all tests.
	proveVariable = "SEQUOIA_PROVE"
	// proveTimeout bounds the tests of one package.
	proveTimeout = 30 * time.Minute
)

var errNotProved = eris.New("not every test passed")

// workFile is the part of go.work that names the modules.
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
	all := newVerdicts()
	for _, module := range modules {
		start := time.Now()
		if err := proveModule(ctx, module, schedules, all); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %s\n", module, time.Since(start).Round(time.Second))
	}
	fmt.Fprintln(out)
	printMatrix(out, all)
	if _, failed := all.count(); failed > 0 {
		return errNotProved
	}
	return nil
}

func listModules(ctx context.Context) ([]string, error) {
	text, err := exec.CommandContext(ctx, "go", "work", "edit", "-json").Output()
	if err != nil {
		return nil, eris.Wrap(err, "read go.work")
	}
	var file workFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, eris.Wrap(err, "read go.work")
	}
	var modules []string
	for _, use := range file.Use {
		modules = append(modules, use.DiskPath)
	}
	return modules, nil
}

// proveModule runs the tests of one module. A failed test ends go test with an error, which the verdicts already hold.
func proveModule(ctx context.Context, module string, schedules int, into *verdicts) error {
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
	if err := into.read(output); err != nil {
		return eris.Wrap(err, "read tests of "+module)
	}
	if err := command.Wait(); err != nil && !into.hasFailure() {
		into.broken = append(into.broken, module)
	}
	return nil
}

func (v *verdicts) hasFailure() bool {
	_, failed := v.count()
	return failed > 0
}
