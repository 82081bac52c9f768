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

var errVMListRejected = eris.New("platform rejected the VM list change")

// Stop stops all processes gracefully, gateways first. Processes that have not exited when ctx ends are killed.
func (f *Fleet) Stop(ctx context.Context) error {
	defer f.network.release()
	// Controllers and all other processes stop together: nothing calls them once the gateways have stopped, and a
	// controller whose peers also stop waits for a successor until its own timeout.
	stopOrder := [][]Program{{ProgramGateway}, {ProgramController, ProgramRunner, ProgramService, ProgramVMList}}
	var errs []error
	for _, programs := range stopOrder {
		errs = append(errs, f.stopAll(ctx, programs))
	}
	return errors.Join(errs...)
}

func (f *Fleet) stopAll(ctx context.Context, programs []Program) error {
	var (
		mu    sync.Mutex
		errs  []error
		group sync.WaitGroup
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
			errs = append(errs, err)
			mu.Unlock()
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// Kill kills all processes; it is for tests that have collected their results.
func (f *Fleet) Kill() {
	defer f.network.release()
	for _, process := range f.processes {
		if process.Running() {
			_ = process.Kill()
		}
	}
}

// MarkLeaving marks an upstream as leaving in the platform's VM list, as a platform operator does before a stop.
func (f *Fleet) MarkLeaving(ctx context.Context, upstream Upstream) error {
	return f.updateVMList(ctx, vmListEntry(upstream, "leaving"))
}

func (f *Fleet) updateVMList(ctx context.Context, entry vmEntry) error {
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
		return wrapError("change VM list", KindNetwork, errVMListRejected)
	}
	return nil
}
