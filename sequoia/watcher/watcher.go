package watcher

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/dispatcher"
)

const (
	listInterval   = 600 * time.Millisecond
	listTimeout    = time.Second
	reportInterval = 500 * time.Millisecond
	reportTimeout  = 400 * time.Millisecond
	// rateShare is the part of the rate of the list that the fleet plans to use; VMs differ in their view of the fleet.
	rateShare = 0.5
	// reportsAtOnce bounds the reports that are awaited at the same time.
	reportsAtOnce = 8
)

// Source is where upstreams are listed and report their load.
type Source interface {
	// List returns the upstreams of the region and the number of calls it took.
	List(ctx context.Context) ([]dispatcher.Upstream, int, error)
	FetchLoad(ctx context.Context, upstream dispatcher.Upstream) (dispatcher.Load, error)
}

// Sink takes what was read.
type Sink interface {
	SetUpstreams(list []dispatcher.Upstream)
	SetLoad(load dispatcher.Load)
	// Reporting returns the upstreams whose load matters.
	UpstreamsToPoll() []dispatcher.Upstream
	// ListNeeded is false while the list comes from another process.
	NeedsList() bool
	// Sharers is the number of processes that share the rate of the list.
	ListReaders() int
}

// Config holds the parts of a Watcher.
type Config struct {
	Source Source
	Sink   Sink
	Logger logrus.FieldLogger
	// CallsPerSecond is the rate that the list accepts from all VMs together.
	CallsPerSecond float64
}

// Watcher reads until its context ends.
type Watcher struct {
	config Config
	failed bool
}

// New returns a watcher.
func New(config Config) *Watcher {
	return &Watcher{config: config}
}

// Run reads list and reports until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, groupContext := errgroup.WithContext(ctx)
	group.Go(func() error { w.watchList(groupContext); return nil })
	group.Go(func() error { w.watchReports(groupContext); return nil })
	return group.Wait()
}

func (w *Watcher) watchList(ctx context.Context) {
	calls := 1
	for {
		if w.config.Sink.NeedsList() {
			calls = w.readList(ctx)
		}
		if !pause(ctx, Interval(calls, w.config.Sink.ListReaders(), w.config.CallsPerSecond)) {
			return
		}
	}
}

func (w *Watcher) readList(ctx context.Context) int {
	attempt, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, calls, err := w.config.Source.List(attempt)
	if err != nil {
		if !w.failed {
			w.config.Logger.WithError(err).Warn("list of upstreams lost; the last one stays in use")
		}
		w.failed = true
		return max(calls, 1)
	}
	if w.failed {
		w.config.Logger.Info("list of upstreams regained")
	}
	w.failed = false
	w.config.Sink.SetUpstreams(list)
	return calls
}

// Interval is the pause between reads of the list at which all VMs together stay within its rate.
func Interval(calls, sharers int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return listInterval
	}
	needed := time.Duration(float64(calls*max(sharers, 1)) / (perSecond * rateShare) * float64(time.Second))
	return max(listInterval, needed)
}

func (w *Watcher) watchReports(ctx context.Context) {
	for pause(ctx, reportInterval) {
		var group errgroup.Group
		group.SetLimit(reportsAtOnce)
		for _, upstream := range w.config.Sink.UpstreamsToPoll() {
			group.Go(func() error {
				w.readReport(ctx, upstream)
				return nil
			})
		}
		// The functions return no errors.
		_ = group.Wait()
	}
}

func (w *Watcher) readReport(ctx context.Context, upstream dispatcher.Upstream) {
	attempt, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := w.config.Source.FetchLoad(attempt, upstream)
	if err != nil {
		w.config.Logger.WithField("upstream", upstream.ID).WithError(err).Debug("no report")
		return
	}
	w.config.Sink.SetLoad(load)
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
