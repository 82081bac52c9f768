package measurer

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// Costs of one batch step of the simulated engine: a full batch of 16 with a full prefill chunk takes 27.7 ms.
const (
	stepBase        = 12 * time.Millisecond
	stepPerSequence = 500 * time.Microsecond
	stepPerToken    = 30 * time.Microsecond
	chunkTokens     = 256
	cacheBlocks     = 4096
)

// runner simulates one engine with a batch, a priority queue and a prefix cache.
type runner struct {
	index       int
	zone        int
	name        string
	incarnation uint64
	up          bool
	slowdown    float64
	batchLimit  int
	batch       []*request
	waiting     []*request
	cache       *cache
	stepping    bool
	stepTime    time.Duration
	generation  int // incremented by a crash, so that steps scheduled before it are ignored
	sequence    uint64
}

func (r *runner) upstream(sim *simulation) router.Upstream {
	return router.Upstream{Name: r.name, Zone: sim.zones[r.zone].name, Incarnation: r.incarnation}
}

// enqueue inserts a request behind those of the same or a more urgent priority.
func (r *runner) enqueue(q *request) {
	at := len(r.waiting)
	for at > 0 && r.waiting[at-1].priority > q.priority {
		at--
	}
	r.waiting = slices.Insert(r.waiting, at, q)
}

// beginStep forms the batch of the next step and returns the duration of the step, or 0 if the runner is idle.
func (r *runner) beginStep(now time.Duration) time.Duration {
	r.fillBatch(now)
	if len(r.batch) == 0 {
		return 0
	}
	tokens := r.allocatePrefill()
	step := stepBase + time.Duration(len(r.batch))*stepPerSequence + time.Duration(tokens)*stepPerToken
	r.stepTime = time.Duration(float64(step) * r.slowdown)
	return r.stepTime
}

func (r *runner) fillBatch(now time.Duration) {
	for len(r.batch) < r.batchLimit && len(r.waiting) > 0 {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		if now > q.deadline {
			q.timedOut = true
			continue
		}
		hit := r.cache.hitBlocks(q.prefix) * router.BlockTokens
		q.hitTokens = min(hit, q.promptTokens-1)
		q.prefillRemaining = q.promptTokens - q.hitTokens
		r.batch = append(r.batch, q)
	}
}

// allocatePrefill divides the prefill chunk of a step among the prompts, most urgent first, and returns the tokens
// used.
func (r *runner) allocatePrefill() int {
	slices.SortStableFunc(r.batch, func(a, b *request) int { return a.priority - b.priority })
	remaining := chunkTokens
	for _, q := range r.batch {
		q.prefillChunk = min(q.prefillRemaining, remaining)
		remaining -= q.prefillChunk
	}
	return chunkTokens - remaining
}

// endStep completes a step and returns the requests that generated their first token, and those that finished.
func (r *runner) endStep() (first, finished []*request) {
	kept := r.batch[:0]
	for _, q := range r.batch {
		prefilling := q.prefillRemaining > 0
		q.prefillRemaining -= q.prefillChunk
		if q.prefillRemaining > 0 {
			kept = append(kept, q)
			continue
		}
		if prefilling {
			r.cache.store(q.prefix)
			first = append(first, q)
		}
		q.generatedTokens++
		if q.generatedTokens < q.outputTokens {
			kept = append(kept, q)
			continue
		}
		finished = append(finished, q)
	}
	r.batch = kept
	return first, finished
}

// crash takes the runner down and returns its queued and running requests.
func (r *runner) crash() []*request {
	interrupted := append(slices.Clone(r.batch), r.waiting...)
	r.batch, r.waiting = nil, nil
	r.up = false
	r.stepping = false
	r.generation++
	return interrupted
}

// restart brings the runner up again with an empty cache.
func (r *runner) restart() {
	r.up = true
	r.incarnation++
	r.cache = newCache(cacheBlocks)
	r.sequence = 0
}

// engineTime returns the engine time of a request in a full batch.
func engineTime(prefilled, output, batchLimit int) time.Duration {
	perToken := stepBase/time.Duration(batchLimit) + stepPerSequence
	return time.Duration(output)*perToken + time.Duration(prefilled)*stepPerToken
}
