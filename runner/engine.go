package main

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// resumeTimeout is how long a request without clients continues and can be resumed.
	resumeTimeout = 2 * time.Second
	// maxWaiting is the capacity of the queue. The engine rejects further requests.
	maxWaiting        = 1024
	drainPollInterval = 20 * time.Millisecond
)

// Engine simulates continuous batching: each step processes prompt tokens of new requests and generates one token for
// each other request.
type Engine struct {
	config           Config
	wake             chan struct{}
	mu               sync.Mutex
	jobs             map[string]*job
	waiting          []*job
	running          []*job
	submitted        uint64
	streams          int
	cache            *prefixCache
	events           eventLog
	models           map[string]modelState
	fencingToken     uint64
	draining         bool
	rejectedDraining int
}

// NewEngine returns an engine without loaded models.
func NewEngine(config Config) *Engine {
	return &Engine{
		config: config,
		wake:   make(chan struct{}, 1),
		jobs:   map[string]*job{},
		cache:  newPrefixCache(),
		events: eventLog{delay: config.EventDelay, dropEvery: config.DropEventEvery},
		models: map[string]modelState{},
	}
}

// Run performs steps while there are requests, until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.config.stepInterval())
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

// Step performs one step and reports whether requests remain.
func (e *Engine) Step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned(now)
	e.admit(now)
	e.prefill()
	e.decode(now)
	return len(e.jobs) > 0
}

// Submit queues a request, or returns why it is rejected without being run. It cancels a previous request with the same
// ID.
func (e *Engine) Submit(j *job) *rejection {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		e.rejectedDraining++
		return &rejectionDraining
	case e.models[j.model] != modelLoaded:
		return &rejectionModelNotFound
	case len(e.waiting) >= maxWaiting:
		return &rejectionQueueFull
	case j.kvTokens() > e.config.KVCapacityTokens:
		return &rejectionPromptTooLong
	}
	if previous, ok := e.jobs[j.id]; ok {
		e.cancel(previous)
	}
	e.submitted++
	j.submission = e.submitted
	j.clients = 1
	e.jobs[j.id] = j
	e.waiting = append(e.waiting, j)
	e.wakeUp()
	return nil
}

// Attach adds a client to a request whose stream was interrupted, and reports whether the stream can be resumed.
func (e *Engine) Attach(id string) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok || j.cancelled || !e.config.ResumeStreams {
		return nil, false
	}
	j.clients++
	return j, true
}

// Detach removes a client, with whether it got the complete response. A request without clients is cancelled: after
// resumeTimeout if its stream can still be resumed, otherwise at once.
func (e *Engine) Detach(j *job, delivered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.clients--
	j.delivered = j.delivered || delivered
	if j.clients > 0 {
		return
	}
	j.detachedAt = time.Now()
	if j.delivered || !e.config.ResumeStreams {
		e.cancel(j)
	}
}

// Progress returns the number of generated tokens, whether the request has ended, and a channel that is closed at the
// next change.
func (e *Engine) Progress(j *job) (tokens int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.emitted, j.ended(), j.changed
}

// ShouldBreakStream counts a started stream and reports whether it should be interrupted in the middle.
func (e *Engine) ShouldBreakStream() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams++
	return e.config.BreakStreamEvery > 0 && e.streams%e.config.BreakStreamEvery == 0
}

// Drain rejects new requests, and returns when those in progress have ended and MinDrainTime has passed.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	minEnd := time.Now().Add(e.config.MinDrainTime)
	for time.Now().Before(minEnd) || e.hasJobs() {
		time.Sleep(drainPollInterval)
	}
}

func (e *Engine) hasJobs() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs) > 0
}

func (e *Engine) wakeUp() {
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

// cancelAbandoned cancels requests that have had no clients for longer than resumeTimeout.
func (e *Engine) cancelAbandoned(now time.Time) {
	for _, j := range e.jobs {
		if j.clients == 0 && now.Sub(j.detachedAt) > resumeTimeout {
			e.cancel(j)
		}
	}
}

// admit moves waiting requests into the batch, most urgent first, while the batch and the KV memory have room.
func (e *Engine) admit(now time.Time) {
	slices.SortStableFunc(e.waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.submission, b.submission))
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.BatchLimit {
		next := e.waiting[0]
		if e.reservedTokens()+next.kvTokens() > e.config.KVCapacityTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		next.started = true
		next.cachedTokens = e.cache.cachedBlocks(next.blocks) * blockTokens
		next.prefillRemaining = len(next.prompt) - next.cachedTokens
		e.events.record(now, "removed", e.cache.evictTo(e.config.KVCapacityTokens-e.reservedTokens()))
	}
}

// reservedTokens returns the KV memory in tokens that the requests in the batch reserve.
func (e *Engine) reservedTokens() int {
	total := 0
	for _, j := range e.running {
		total += j.kvTokens()
	}
	return total
}

// prefill divides the prefill budget of one step among the running requests in order of admission.
func (e *Engine) prefill() {
	budget := e.config.prefillBudget()
	for _, j := range e.running {
		tokens := min(budget, j.prefillRemaining)
		j.prefillRemaining -= tokens
		budget -= tokens
	}
}

// decode generates one token for each running request whose prefill is complete.
func (e *Engine) decode(now time.Time) {
	for _, j := range slices.Clone(e.running) {
		if j.prefillRemaining > 0 {
			continue
		}
		j.emitted++
		if j.emitted == 1 {
			e.events.record(now, "stored", e.cache.add(j.blocks))
			e.events.record(now, "removed", e.cache.evictTo(e.config.KVCapacityTokens-e.reservedTokens()))
		}
		if j.emitted >= j.outputTokens {
			j.done = true
			e.running = slices.DeleteFunc(e.running, func(each *job) bool { return each == j })
		}
		j.notify()
	}
}
