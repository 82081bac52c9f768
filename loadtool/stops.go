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
	// stopInterval is the time between the starts of two graceful stops.
	stopInterval = 3 * time.Second
	// leaveNotice is the time for which a platform lists a VM as leaving before it stops it.
	leaveNotice = time.Second
)

var errNothingToStop = eris.New("document has no VM to stop")

// runGracefulStops gracefully stops one process of each kind. The stops start one after the other and overlap, because
// a gateway drains until all directory responses that list it have expired.
func runGracefulStops(ctx context.Context, out io.Writer, fleet *harness.Fleet) error {
	stops := []func(context.Context, *harness.Fleet) (string, error){stopGateway, stopRunner, stopController, stopService}
	group, ctx := errgroup.WithContext(ctx)
	for i, stop := range stops {
		group.Go(func() error {
			sleep(ctx, time.Duration(i+1)*stopInterval)
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

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// stopGateway stops the gateway of a VM without a controller.
func stopGateway(ctx context.Context, fleet *harness.Fleet) (string, error) {
	return stopProcess(ctx, fleet, harness.ProgramGateway, func(vm parser.VM) bool { return !vm.HasController() })
}

// stopController stops a voting controller outside the first availability zone, in which the runner is stopped.
func stopController(ctx context.Context, fleet *harness.Fleet) (string, error) {
	first := fleet.Document.VMs[0].Zone
	return stopProcess(ctx, fleet, harness.ProgramController, func(vm parser.VM) bool { return vm.Voter && vm.Zone != first })
}

func stopProcess(ctx context.Context, fleet *harness.Fleet, program harness.Program, matches func(parser.VM) bool) (string, error) {
	for _, vm := range fleet.Document.VMs {
		if !matches(vm) {
			continue
		}
		process, err := fleet.Process(program, vm.Name)
		if err != nil {
			return "", err
		}
		return process.Spec.Name(), process.Stop(ctx)
	}
	return "", errNothingToStop
}

func stopRunner(ctx context.Context, fleet *harness.Fleet) (string, error) {
	return stopUpstream(ctx, fleet, harness.ProgramRunner, fleet.Document.VMs[0].Zone)
}

// stopService stops the plain service of the second availability zone, which is in the same region as the first.
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
		sleep(ctx, leaveNotice)
		process, err := fleet.Process(program, upstream.Spec.VM)
		if err != nil {
			return "", err
		}
		return process.Spec.Name(), process.Stop(ctx)
	}
	return "", errNothingToStop
}
