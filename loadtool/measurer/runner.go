package measurer

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// Costs of one batch step of the modelled engine: a full batch of 16 with a whole prefill chunk takes 27.7 ms.
const (
	stepBase        = 12 * time.Millisecond
	stepPerSequence = 500 * time.Microsecond
	stepPerToken    = 30 * time.Microsecond
	chunkTokens     = 256
	cacheBlocks     = 4096
)

// runner models one engine: a batch, a waiting queue by priority, a prefix cache.
type runner struct {
	number      int
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
	generation  int // steps of an earlier life are ignored
	sequence    uint64
}

func (r *runner) upstream(w *world) router.Upstream {
	return router.Upstream{Name: r.name, Zone: w.zones[r.zone].name, Incarnation: r.incarnation}
}

// enqueue adds a request behind those of the same or a more urgent priority.
func (r *runner) enqueue(q *request) {
	at := len(r.waiting)
	for at > 0 && r.waiting[at-1].priority > q.priority {
		at--
	}
	r.waiting = slices.Insert(r.waiting, at, q)
}

// begin forms the batch of the next step and returns its length; 0 means that there is nothing to do.
func (r *runner) begin(now time.Duration) time.Duration {
	r.fill(now)
	if len(r.batch) == 0 {
		return 0
	}
	tokens := r.plan()
	step := stepBase + time.Duration(len(r.batch))*stepPerSequence + time.Duration(tokens)*stepPerToken
	r.stepTime = time.Duration(float64(step) * r.slowdown)
	return r.stepTime
}

func (r *runner) fill(now time.Duration) {
	for len(r.batch) < r.batchLimit && len(r.waiting) > 0 {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		if now > q.giveUp {
			q.abandoned = true
			continue
		}
		hit := r.cache.hit(q.prefix) * router.BlockTokens
		q.hit = min(hit, q.prompt-1)
		q.left = q.prompt - q.hit
		r.batch = append(r.batch, q)
	}
}

// plan divides the prefill chunk of a step over the prompts, most urgent first.
func (r *runner) plan() int {
	slices.SortStableFunc(r.batch, func(a, b *request) int { return a.priority - b.priority })
	budget := chunkTokens
	for _, q := range r.batch {
		q.chunk = min(q.left, budget)
		budget -= q.chunk
	}
	return chunkTokens - budget
}

// end applies a step and returns the requests that got their first token, and those that finished.
func (r *runner) end() (first, finished []*request) {
	kept := r.batch[:0]
	for _, q := range r.batch {
		prefilling := q.left > 0
		q.left -= q.chunk
		if q.left > 0 {
			kept = append(kept, q)
			continue
		}
		if prefilling {
			r.cache.store(q.prefix)
			first = append(first, q)
		}
		q.made++
		if q.made < q.output {
			kept = append(kept, q)
			continue
		}
		finished = append(finished, q)
	}
	r.batch = kept
	return first, finished
}

// crash ends the runner and returns the requests that it held.
func (r *runner) crash() []*request {
	held := append(slices.Clone(r.batch), r.waiting...)
	r.batch, r.waiting = nil, nil
	r.up = false
	r.stepping = false
	r.generation++
	return held
}

// restart starts the runner again with an empty cache.
func (r *runner) restart() {
	r.up = true
	r.incarnation++
	r.cache = newCache(cacheBlocks)
	r.sequence = 0
}

// work is the engine time that a request takes in a full batch.
func work(prefilled, output, batchLimit int) time.Duration {
	perToken := stepBase/time.Duration(batchLimit) + stepPerSequence
	return time.Duration(output)*perToken + time.Duration(prefilled)*stepPerToken
}
