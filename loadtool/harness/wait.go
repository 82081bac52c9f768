package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/sequoia/verifier"
)

const probeTimeout = time.Second

var (
	errNotReady = eris.New("not ready in time")
	errExited   = eris.New("process exited before it was ready")
)

// probeClient opens a new connection for each probe, so that no idle connection remains to a process that stops.
var probeClient = &http.Client{Timeout: probeTimeout, Transport: newTransport()}

func newTransport() http.RoundTripper {
	return verifier.NewTransport(verifier.TransportConfig{Base: &http.Transport{DisableKeepAlives: true}})
}

// WaitReady waits until all given processes report that they are ready.
func (f *Fleet) WaitReady(ctx context.Context, processes ...*Process) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, process := range processes {
		group.Go(func() error { return f.waitReady(ctx, process) })
	}
	return group.Wait()
}

func (f *Fleet) waitReady(ctx context.Context, process *Process) error {
	op := "wait for " + process.Spec.Name()
	for !f.Ready(ctx, process) {
		if !process.Running() {
			return wrapError(op, KindProcess, errExited)
		}
		select {
		case <-ctx.Done():
			return wrapError(op, KindTimeout, errNotReady)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Ready probes whether a process is ready.
func (f *Fleet) Ready(ctx context.Context, process *Process) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.probeURLs[process.Spec.Name()], nil)
	if err != nil {
		return false
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
