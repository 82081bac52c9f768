package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicroseconds = int64(10 * time.Minute / time.Microsecond)
	latencyDigits          = 3
)

// result holds the metrics of the requests of one run that arrived within its measurement windows. Completed work
// counts by its time of completion instead.
type result struct {
	sim           *simulation
	windows       []window
	ranks         []rankResult
	completedWork []time.Duration // within the first-token target, by organisation
	offeredWork   []time.Duration // by organisation
}

// window is a part of the run that is measured.
type window struct {
	from, to time.Duration
}

// rankResult holds the metrics of one rank.
type rankResult struct {
	offered           int
	refused           int
	started           int
	inTarget          int
	crossRegion       int
	offeredWork       time.Duration
	completedWork     time.Duration // within the first-token target
	firstTokenLatency *hdrhistogram.Histogram
}

func newResult(sim *simulation, windows []window) *result {
	r := &result{sim: sim, windows: windows}
	for range sim.doc.Ranks {
		r.ranks = append(r.ranks, rankResult{firstTokenLatency: hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits)})
	}
	r.completedWork = make([]time.Duration, len(sim.doc.Organisations))
	r.offeredWork = make([]time.Duration, len(sim.doc.Organisations))
	return r
}

func (r *result) inWindow(at time.Duration) bool {
	for _, w := range r.windows {
		if at >= w.from && at < w.to {
			return true
		}
	}
	return false
}

// measuredTime returns the total length of the measurement windows.
func (r *result) measuredTime() time.Duration {
	var total time.Duration
	for _, w := range r.windows {
		total += w.to - w.from
	}
	return total
}

func (r *result) offered(now time.Duration, q *request) {
	if !r.inWindow(now) {
		return
	}
	work := q.warmCacheWork(r.sim.pool.BatchLimit)
	r.ranks[q.rank].offered++
	r.ranks[q.rank].offeredWork += work
	r.offeredWork[q.organisation] += work
}

func (r *result) refused(_ time.Duration, q *request) {
	if r.inWindow(q.arrived) {
		r.ranks[q.rank].refused++
	}
}

func (r *result) firstToken(_ time.Duration, q *request) {
	if !r.inWindow(q.arrived) {
		return
	}
	metrics := &r.ranks[q.rank]
	metrics.started++
	latency := q.firstTokenAt - q.arrived
	_ = metrics.firstTokenLatency.RecordValue(min(int64(latency/time.Microsecond), maxLatencyMicroseconds))
	if latency <= r.target(q.rank) {
		metrics.inTarget++
	}
	if q.crossRegion {
		metrics.crossRegion++
	}
}

// finished counts work by its time of completion, so that a run measures what the fleet completed within the windows.
func (r *result) finished(now time.Duration, q *request) {
	if !r.inWindow(now) || q.firstTokenAt-q.arrived > r.target(q.rank) {
		return
	}
	work := q.warmCacheWork(r.sim.pool.BatchLimit)
	r.ranks[q.rank].completedWork += work
	r.completedWork[q.organisation] += work
}

func (r *result) target(rank int) time.Duration {
	return r.sim.doc.Ranks[rank].FirstTokenTarget.Duration
}
