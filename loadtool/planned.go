package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/sequoia/parser"
)

const (
	// stopPause is the time between two planned stops.
	stopPause = 3 * time.Second
	// leaveLead is the time between the mark in the VM list and the stop, as a platform gives it.
	leaveLead = time.Second
)

var errNoCandidate = eris.New("the document has no VM that can be stopped")

// makePlannedStops stops one VM of each kind gracefully; the stops begin one after the other and overlap, because a
// gateway stays until no caller's directory answer can name it.
func makePlannedStops(ctx context.Context, out io.Writer, fleet *harness.Fleet) error {
	stops := []func(context.Context, *harness.Fleet) (string, error){stopGateway, stopRunner, stopController, stopService}
	group, ctx := errgroup.WithContext(ctx)
	for i, stop := range stops {
		group.Go(func() error {
			pause(ctx, time.Duration(i+1)*stopPause)
			start := time.Now()
			name, err := stop(ctx, fleet)
			if err == nil {
				fmt.Fprintf(out, "planned stop of %s took %s\n", name, time.Since(start).Round(time.Millisecond))
			}
			return err
		})
	}
	return group.Wait()
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// stopGateway stops the gateway of a VM without a controller.
func stopGateway(ctx context.Context, fleet *harness.Fleet) (string, error) {
	return stopOn(ctx, fleet, harness.ProgramGateway, func(vm parser.VM) bool { return !vm.HasController() })
}

// stopController stops a voter outside the first availability zone, where the runner is stopped.
func stopController(ctx context.Context, fleet *harness.Fleet) (string, error) {
	first := fleet.Document.VMs[0].Zone
	return stopOn(ctx, fleet, harness.ProgramController, func(vm parser.VM) bool { return vm.Voter && vm.Zone != first })
}

func stopOn(ctx context.Context, fleet *harness.Fleet, program harness.Program, wanted func(parser.VM) bool) (string, error) {
	for _, vm := range fleet.Document.VMs {
		if !wanted(vm) {
			continue
		}
		process, err := fleet.Process(program, vm.Name)
		if err != nil {
			return "", err
		}
		return process.Spec.Name(), process.Stop(ctx)
	}
	return "", errNoCandidate
}

func stopRunner(ctx context.Context, fleet *harness.Fleet) (string, error) {
	return stopUpstream(ctx, fleet, harness.ProgramRunner, fleet.Document.VMs[0].Zone)
}

// stopService stops the plain service of the second availability zone, which shares a region with the first.
func stopService(ctx context.Context, fleet *harness.Fleet) (string, error) {
	return stopUpstream(ctx, fleet, harness.ProgramService, fleet.Document.Zones()[1])
}

func stopUpstream(ctx context.Context, fleet *harness.Fleet, program harness.Program, zone string) (string, error) {
	for _, upstream := range fleet.Upstreams {
		if upstream.Spec.Program != program || upstream.Spec.Zone != zone {
			continue
		}
		if err := fleet.MarkLeaving(ctx, upstream); err != nil {
			return "", err
		}
		pause(ctx, leaveLead)
		process, err := fleet.Process(program, upstream.Spec.VM)
		if err != nil {
			return "", err
		}
		return process.Spec.Name(), process.Stop(ctx)
	}
	return "", errNoCandidate
}
