package watcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/dispatcher"
)

const (
	listInterval = 600 * time.Millisecond
	listTimeout  = time.Second
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 400 * time.Millisecond
	// plannedRateFraction is the fraction of the rate limit that the fleet plans to use. The rest covers VMs whose
	// counts of the fleet differ.
	plannedRateFraction = 0.5
	// maxConcurrentReads limits the number of concurrent load reads.
	maxConcurrentReads = 8
)

// Source reads the list of upstreams and their load.
type Source interface {
	// List returns the upstreams of the region and the number of calls that it made.
	List(ctx context.Context) ([]dispatcher.Upstream, int, error)
	FetchLoad(ctx context.Context, upstream dispatcher.Upstream) (dispatcher.Load, error)
}

// Sink receives the data that a Watcher reads.
type Sink interface {
	// SetUpstreams takes the list and the time at which its reading began.
	SetUpstreams(list []dispatcher.Upstream, readAt time.Time)
	SetLoad(load dispatcher.Load)
	// UpstreamsToPoll returns the upstreams whose load is read.
	UpstreamsToPoll() []dispatcher.Upstream
	// NeedsList reports whether to read the list. It is false while another process provides the list.
	NeedsList() bool
	// ListReaders returns the number of processes that share the rate limit of the list.
	ListReaders() int
}

// Config holds the settings of a Watcher.
type Config struct {
	Source Source
	Sink   Sink
	Logger logrus.FieldLogger
	// CallsPerSecond is the rate limit of the list for all VMs together.
	CallsPerSecond float64
}

// Watcher polls a Source and passes the results to a Sink.
type Watcher struct {
	config     Config
	listFailed bool
}

// New returns a watcher that Run starts.
func New(config Config) *Watcher {
	return &Watcher{config: config}
}

// Run polls the list and the loads until the context is cancelled.
func (w *Watcher) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { w.pollList(groupCtx); return nil })
	group.Go(func() error { w.pollLoads(groupCtx); return nil })
	return group.Wait()
}

func (w *Watcher) pollList(ctx context.Context) {
	calls := 1
	for {
		if w.config.Sink.NeedsList() {
			calls = w.readList(ctx)
		}
		if !sleep(ctx, Interval(calls, w.config.Sink.ListReaders(), w.config.CallsPerSecond)) {
			return
		}
	}
}

func (w *Watcher) readList(ctx context.Context) int {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	readAt := time.Now()
	list, calls, err := w.config.Source.List(callCtx)
	if err != nil {
		if !w.listFailed {
			w.config.Logger.WithError(err).Warn("reading the list of upstreams failed; keeping the last one")
		}
		w.listFailed = true
		return max(calls, 1)
	}
	if w.listFailed {
		w.config.Logger.Info("reading the list of upstreams works again")
	}
	w.listFailed = false
	w.config.Sink.SetUpstreams(list, readAt)
	return calls
}

// Interval returns the time between reads of the list that keeps all VMs together within the rate limit.
func Interval(calls, readers int, callsPerSecond float64) time.Duration {
	if callsPerSecond <= 0 {
		return listInterval
	}
	required := time.Duration(float64(calls*max(readers, 1)) / (callsPerSecond * plannedRateFraction) * float64(time.Second))
	return max(listInterval, required)
}

func (w *Watcher) pollLoads(ctx context.Context) {
	for sleep(ctx, loadInterval) {
		var group errgroup.Group
		group.SetLimit(maxConcurrentReads)
		for _, upstream := range w.config.Sink.UpstreamsToPoll() {
			group.Go(func() error {
				w.readLoad(ctx, upstream)
				return nil
			})
		}
		// The functions of the group never return an error.
		_ = group.Wait()
	}
}

func (w *Watcher) readLoad(ctx context.Context, upstream dispatcher.Upstream) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := w.config.Source.FetchLoad(callCtx, upstream)
	if err != nil {
		w.config.Logger.WithField("upstream", upstream.ID).WithError(err).Debug("reading the load of an upstream failed")
		return
	}
	w.config.Sink.SetLoad(load)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
