package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

var errListChange = eris.New("platform did not take the change")

// Stop stops all processes gracefully, gateways first and stand-ins last; processes that do not stop in time are killed.
func (f *Fleet) Stop(ctx context.Context) error {
	defer f.network.release()
	// Controllers and stand-ins stop together: nothing calls either once the gateways have stopped, and a controller whose
	// peers stop too waits for a successor until its own bound.
	order := [][]Program{{ProgramGateway}, {ProgramController, ProgramRunner, ProgramService, ProgramVMList}}
	var failures []error
	for _, programs := range order {
		failures = append(failures, f.stopAll(ctx, programs))
	}
	return errors.Join(failures...)
}

func (f *Fleet) stopAll(ctx context.Context, programs []Program) error {
	var (
		mu       sync.Mutex
		failures []error
		group    sync.WaitGroup
	)
	for _, process := range f.processes {
		if !process.Running() || !slices.Contains(programs, process.Spec.Program) {
			continue
		}
		group.Go(func() {
			err := process.Stop(ctx)
			if process.Running() {
				err = errors.Join(err, process.Kill())
			}
			mu.Lock()
			failures = append(failures, err)
			mu.Unlock()
		})
	}
	group.Wait()
	return errors.Join(failures...)
}

// Kill ends all processes at once, for tests that have read their results.
func (f *Fleet) Kill() {
	defer f.network.release()
	for _, process := range f.processes {
		if process.Running() {
			_ = process.Kill()
		}
	}
}

// Leave marks an upstream as leaving in the platform's list, as an operator of the platform does before a stop.
func (f *Fleet) Leave(ctx context.Context, upstream Upstream) error {
	return f.list(ctx, listOf(upstream, "leaving"))
}

func (f *Fleet) list(ctx context.Context, entry listedVM) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return wrapError("change VM list", KindNetwork, err)
	}
	url := "http://" + f.platformAddress(entry.Zone).String() + "/v1/vms/" + entry.Name
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return wrapError("change VM list", KindNetwork, err)
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return wrapError("change VM list", KindNetwork, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return wrapError("change VM list", KindNetwork, errListChange)
	}
	return nil
}
