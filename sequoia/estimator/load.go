package estimator

import "time"

// Load is the estimate for one upstream.
type Load struct {
	Outstanding float64 // requests running or waiting, of all VMs
	InFlight    int     // of these, requests of this process
	Slowness    float64 // observed time to first token over the expected one; 1 is as expected
}

// Load estimates the requests on an upstream; it is false for an unknown one.
func (e *Estimator) Load(now time.Time, name string) (Load, bool) {
	i, ok := e.index[name]
	if !ok {
		return Load{}, false
	}
	e.refresh(now, i)
	return e.LoadAt(i), true
}

// Index returns the row of an upstream, for LoadAt and FirstTokenAt in loops over many upstreams.
func (e *Estimator) Index(name string) (int, bool) {
	i, ok := e.index[name]
	return i, ok
}

// LoadAt estimates the requests on the upstream in a row that Index returned, as of its last message or tick.
func (e *Estimator) LoadAt(i int) Load {
	r := &e.rows[i]
	return Load{Outstanding: e.summaries[i].outstanding, InFlight: r.own, Slowness: r.slowness}
}

// OutstandingAt estimates the requests on the upstream in a row, as of its last message or tick.
func (e *Estimator) OutstandingAt(i int) float64 {
	return e.summaries[i].outstanding
}

// FirstTokenAt estimates the time to the first token of a request sent now to the upstream in a row.
func (e *Estimator) FirstTokenAt(i, rank, promptTokens, hitTokens int) time.Duration {
	return e.prefillTime(i, rank, float64(max(promptTokens-hitTokens, 0)))
}

// DecodeTokens returns the expected answer length of a class, in tokens.
func (e *Estimator) DecodeTokens(class Class) float64 {
	if mean, ok := e.decode[class]; ok {
		return mean
	}
	return e.config.DecodeTokens
}

// projectedPart is the weight of the own requests in the estimate of others when their statements are fresh.
const projectedPart = 0.25

// othersOn estimates the requests of other VMs, half from each of two views: those of the last report with one more
// for each own request sent since and still in flight, and the own requests now times what others have for each own
// one. The first alone is late, and the second alone misses what only others do.
func (e *Estimator) othersOn(now time.Time, r *row) float64 {
	ratio := e.othersRatio()
	projected := float64(r.own) * ratio
	if len(r.peers) >= e.config.Senders-1 && now.Sub(r.peerAt) <= e.config.PeerTimeout {
		late := r.peerSum + float64(min(r.sentSincePeers, r.own))*ratio
		return late*(1-projectedPart) + projected*projectedPart
	}
	if !r.reported || now.Sub(r.report.At) > e.config.ReportTimeout {
		return projected
	}
	late := r.others + float64(min(r.sentSince, r.own))*ratio
	return (late + projected) / 2
}

// othersRatio is the requests of other VMs for each own one, on all upstreams.
func (e *Estimator) othersRatio() float64 {
	equal := float64(e.config.Senders - 1)
	if e.ownSum < leastOwnSum {
		return equal
	}
	return min(e.othersSum/e.ownSum, mostSkew*equal)
}

// prefillTime is the time until the first token: the backlog of this and more urgent ranks, the prompt and one
// batch step, at the observed speed of the upstream.
func (e *Estimator) prefillTime(i, rank int, left float64) time.Duration {
	s := &e.summaries[i]
	return time.Duration((left+s.backlog[rankRow(rank)])*s.perToken + s.step)
}

// Idle estimates the time to the first token on an idle upstream without cache hits.
func (e *Estimator) IdleFirstToken(promptTokens int) time.Duration {
	seconds := float64(promptTokens)/e.config.PrefillRate + e.config.StepTime.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// Hold estimates how long a request of a class keeps its slot in a batch.
func (e *Estimator) SlotTime(class Class) time.Duration {
	return time.Duration(e.DecodeTokens(class) * float64(e.config.StepTime))
}

// Work estimates the work of a request in tokens of decoding; a prompt token costs PrefillWeight of one.
func (e *Estimator) Work(class Class, promptTokens, hitTokens int) float64 {
	left := float64(max(promptTokens-hitTokens, 0))
	return e.DecodeTokens(class) + left*e.config.PrefillWeight
}
