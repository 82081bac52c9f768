package main

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// resumeGrace is how long an answer without a reader is kept and continued.
	resumeGrace = 2 * time.Second
	// waitingLimit bounds the queue; an engine refuses requests beyond it.
	waitingLimit = 1024
	leavePoll    = 20 * time.Millisecond
)

// Engine batches requests continuously: each step gives prompt work to new requests and one token to each other one.
type Engine struct {
	config   Config
	wake     chan struct{}
	mu       sync.Mutex
	jobs     map[string]*job
	waiting  []*job
	running  []*job
	arrivals uint64
	streams  int
	cache    *cache
	events   eventLog
	models   map[string]modelState
	fencing  uint64
	leaving  bool
	refused  int
}

// NewEngine returns an engine without models.
func NewEngine(config Config) *Engine {
	return &Engine{
		config: config,
		wake:   make(chan struct{}, 1),
		jobs:   map[string]*job{},
		cache:  newCache(),
		events: eventLog{lag: config.EventLag, gap: config.EventGap},
		models: map[string]modelState{},
	}
}

// Run performs steps while there are requests, until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.config.step())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if e.Step(time.Now()) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
	}
}

// Step performs one step and reports whether requests are left.
func (e *Engine) Step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropAbandoned(now)
	e.admit(now)
	e.prefill()
	e.decode(now)
	return len(e.jobs) > 0
}

// Submit queues a request, or reports why it is refused without being run.
func (e *Engine) Submit(j *job) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		e.refused++
		return &refusalLeaving
	case e.models[j.model] != modelLoaded:
		return &refusalModel
	case len(e.waiting) >= waitingLimit:
		return &refusalFull
	case j.need() > e.config.MemoryTokens:
		return &refusalTooLong
	}
	if earlier, ok := e.jobs[j.id]; ok {
		e.cancel(earlier)
	}
	e.arrivals++
	j.arrived = e.arrivals
	j.readers = 1
	e.jobs[j.id] = j
	e.waiting = append(e.waiting, j)
	e.signal()
	return nil
}

// Attach adds a reader to a request whose stream broke.
func (e *Engine) Attach(id string) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok || j.cancelled || !e.config.ResumesStreams {
		return nil, false
	}
	j.readers++
	return j, true
}

// Detach removes a reader, to whom the whole answer was delivered or not; a request without readers is cancelled, after
// a grace when streams can be resumed.
func (e *Engine) Detach(j *job, delivered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	j.delivered = j.delivered || delivered
	if j.readers > 0 {
		return
	}
	j.detached = time.Now()
	if j.delivered || !e.config.ResumesStreams {
		e.cancel(j)
	}
}

// Progress returns the number of tokens so far, whether the request has ended, and a channel closed at the next change.
func (e *Engine) Progress(j *job) (tokens int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.emitted, j.ended(), j.changed
}

// BreaksStream reports whether the stream that starts now breaks in the middle.
func (e *Engine) BreaksStream() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams++
	return e.config.BreakEvery > 0 && e.streams%e.config.BreakEvery == 0
}

// Leave refuses new requests, and returns when those in progress have ended and the notice has passed.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	earliest := time.Now().Add(e.config.LeaveNotice)
	for time.Now().Before(earliest) || e.busy() {
		time.Sleep(leavePoll)
	}
}

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs) > 0
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) cancel(j *job) {
	if !j.ended() {
		j.cancelled = true
		j.notify()
	}
	e.remove(j)
}

func (e *Engine) remove(j *job) {
	if e.jobs[j.id] == j {
		delete(e.jobs, j.id)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(each *job) bool { return each == j })
	e.running = slices.DeleteFunc(e.running, func(each *job) bool { return each == j })
}

func (e *Engine) dropAbandoned(now time.Time) {
	for _, j := range e.jobs {
		if j.readers == 0 && now.Sub(j.detached) > resumeGrace {
			e.cancel(j)
		}
	}
}

// admit moves requests into the batch, most urgent first, while batch and memory have room.
func (e *Engine) admit(now time.Time) {
	slices.SortStableFunc(e.waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrived, b.arrived))
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.BatchLimit {
		next := e.waiting[0]
		if e.used()+next.need() > e.config.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		next.started = true
		next.cached = e.cache.hits(next.blocks) * blockTokens
		next.prefillLeft = len(next.prompt) - next.cached
		e.events.record(now, "removed", e.cache.shrink(e.config.MemoryTokens-e.used()))
	}
}

// used returns the tokens reserved by the requests in the batch.
func (e *Engine) used() int {
	total := 0
	for _, j := range e.running {
		total += j.need()
	}
	return total
}

func (e *Engine) prefill() {
	budget := e.config.prefillBudget()
	for _, j := range e.running {
		part := min(budget, j.prefillLeft)
		j.prefillLeft -= part
		budget -= part
	}
}

func (e *Engine) decode(now time.Time) {
	for _, j := range slices.Clone(e.running) {
		if j.prefillLeft > 0 {
			continue
		}
		j.emitted++
		if j.emitted == 1 {
			e.events.record(now, "stored", e.cache.add(j.blocks))
			e.events.record(now, "removed", e.cache.shrink(e.config.MemoryTokens-e.used()))
		}
		if j.emitted >= j.limit {
			j.done = true
			e.running = slices.DeleteFunc(e.running, func(each *job) bool { return each == j })
		}
		j.notify()
	}
}
