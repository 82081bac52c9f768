package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// result holds the figures of one run, of requests that arrived in its steady part.
type result struct {
	world  *world
	steady []span
	ranks  []rankResult
	served []time.Duration // work completed within the target, by organisation
	asked  []time.Duration // work offered, by organisation
}

// span is a part of the run that is measured.
type span struct {
	from, to time.Duration
}

// rankResult holds the figures of one rank.
type rankResult struct {
	offered  int
	refused  int
	started  int
	inTarget int
	crossed  int
	asked    time.Duration // work offered
	worked   time.Duration // work completed within the target
	first    *hdrhistogram.Histogram
}

func newResult(w *world, steady []span) *result {
	r := &result{world: w, steady: steady}
	for range w.doc.Ranks {
		r.ranks = append(r.ranks, rankResult{first: hdrhistogram.New(1, histogramMost, histogramDigits)})
	}
	r.served = make([]time.Duration, len(w.doc.Organisations))
	r.asked = make([]time.Duration, len(w.doc.Organisations))
	return r
}

func (r *result) covers(at time.Duration) bool {
	for _, s := range r.steady {
		if at >= s.from && at < s.to {
			return true
		}
	}
	return false
}

// length is the time that is measured.
func (r *result) length() time.Duration {
	var total time.Duration
	for _, s := range r.steady {
		total += s.to - s.from
	}
	return total
}

func (r *result) offered(now time.Duration, q *request) {
	if !r.covers(now) {
		return
	}
	nominal := q.nominal(r.world.pool.BatchLimit)
	r.ranks[q.rank].offered++
	r.ranks[q.rank].asked += nominal
	r.asked[q.organisation] += nominal
}

func (r *result) refused(_ time.Duration, q *request) {
	if r.covers(q.arrived) {
		r.ranks[q.rank].refused++
	}
}

func (r *result) firstToken(_ time.Duration, q *request) {
	if !r.covers(q.arrived) {
		return
	}
	x := &r.ranks[q.rank]
	x.started++
	took := q.firstAt - q.arrived
	_ = x.first.RecordValue(min(int64(took/time.Microsecond), histogramMost))
	if took <= r.target(q.rank) {
		x.inTarget++
	}
	if q.crossed {
		x.crossed++
	}
}

// finished counts work by the time of completion, so that a run measures what the fleet did in the steady part.
func (r *result) finished(now time.Duration, q *request) {
	if !r.covers(now) || q.firstAt-q.arrived > r.target(q.rank) {
		return
	}
	done := q.nominal(r.world.pool.BatchLimit)
	r.ranks[q.rank].worked += done
	r.served[q.organisation] += done
}

func (r *result) target(rank int) time.Duration {
	return r.world.doc.Ranks[rank].FirstTokenTarget.Duration
}
