package watcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/dispatcher"
)

// Guards against all VMs together calling the list more often than it accepts.
func TestIntervalKeepsTheRate(t *testing.T) {
	for _, fleet := range []int{1, 8, 81, 360} {
		for _, calls := range []int{1, 4} {
			const rate = 44.0
			perSecond := float64(fleet*calls) / Interval(calls, fleet, rate).Seconds()
			assert.Assert(t, perSecond <= rate, "%d VMs with %d calls: %.1f calls a second", fleet, calls, perSecond)
		}
	}
}

// failing is a list that fails at first.
type failing struct {
	mu    sync.Mutex
	fails int
	lists int
}

// List fails until it has failed often enough.
func (f *failing) List(context.Context) ([]dispatcher.Upstream, int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.lists <= f.fails {
		return nil, 1, errors.New("no answer")
	}
	return []dispatcher.Upstream{{ID: "a"}}, 1, nil
}

// Report is never called.
func (*failing) FetchLoad(context.Context, dispatcher.Upstream) (dispatcher.Load, error) {
	return dispatcher.Load{}, nil
}

// collector takes the lists.
type collector struct {
	lists  chan []dispatcher.Upstream
	needed bool
}

// SetUpstreams takes a list.
func (c collector) SetUpstreams(list []dispatcher.Upstream) { c.lists <- list }

// Report takes nothing.
func (collector) SetLoad(dispatcher.Load) {}

// Reporting returns nothing.
func (collector) UpstreamsToPoll() []dispatcher.Upstream { return nil }

// ListNeeded returns what the test says.
func (c collector) NeedsList() bool { return c.needed }

// Sharers is this process alone.
func (collector) ListReaders() int { return 1 }

func run(t *testing.T, source Source, sink Sink) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- New(Config{Source: source, Sink: sink, Logger: logger}).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

// Guards against a list that failed once emptying the upstreams, or never being read again.
func TestFailedListIsReadAgain(t *testing.T) {
	sink := collector{lists: make(chan []dispatcher.Upstream, 10), needed: true}
	run(t, &failing{fails: 1}, sink)
	select {
	case list := <-sink.lists:
		assert.Equal(t, len(list), 1)
	case <-time.After(10 * time.Second):
		t.Fatal("the list was not read again")
	}
}

// Guards against calls to the list, which are priced, while another process passes it on.
func TestListIsNotReadWhileItComesFromElsewhere(t *testing.T) {
	source := &failing{}
	run(t, source, collector{lists: make(chan []dispatcher.Upstream, 10)})
	time.Sleep(2 * listInterval)
	source.mu.Lock()
	defer source.mu.Unlock()
	assert.Equal(t, source.lists, 0)
}
