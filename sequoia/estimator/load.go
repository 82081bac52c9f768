package estimator

import "time"

// Load is the load estimate of one upstream.
type Load struct {
	Outstanding float64 // requests of all VMs, running or waiting
	InFlight    int     // requests of this process
	Slowness    float64 // ratio of observed to expected time to first token
}

// Load returns the load estimate of an upstream, or false if the upstream is unknown.
func (e *Estimator) Load(now time.Time, name string) (Load, bool) {
	i, ok := e.index[name]
	if !ok {
		return Load{}, false
	}
	e.updateSummary(now, i)
	return e.LoadAt(i), true
}

// Index returns the index of an upstream for LoadAt, OutstandingAt and FirstTokenAt, which avoid a lookup by name in
// loops over many upstreams.
func (e *Estimator) Index(name string) (int, bool) {
	i, ok := e.index[name]
	return i, ok
}

// LoadAt returns the load estimate of the upstream with an index from Index, as of its last message or tick.
func (e *Estimator) LoadAt(i int) Load {
	state := &e.upstreams[i]
	return Load{Outstanding: e.summaries[i].outstanding, InFlight: state.inFlight, Slowness: state.slowness}
}

// OutstandingAt returns the estimated requests on the upstream with an index from Index, as of its last message or
// tick.
func (e *Estimator) OutstandingAt(i int) float64 {
	return e.summaries[i].outstanding
}

// FirstTokenAt returns the expected time to first token of a request sent now to the upstream with an index from Index.
func (e *Estimator) FirstTokenAt(i, rank, promptTokens, hitTokens int) time.Duration {
	return e.prefillTime(i, rank, float64(max(promptTokens-hitTokens, 0)))
}

// DecodeTokens returns the expected answer length of a class in tokens.
func (e *Estimator) DecodeTokens(class Class) float64 {
	if mean, ok := e.decodeTokens[class]; ok {
		return mean
	}
	return e.config.DecodeTokens
}

// projectedWeight is the weight of the projection from local requests in the estimate of other VMs' requests while
// their reported loads are recent.
const projectedWeight = 0.25

// estimateOthers estimates the requests of other VMs on an upstream. It averages two values: the last report, increased
// in proportion to the local requests sent since and still in flight, and the current local requests multiplied by the
// ratio of other VMs' requests to local ones. The first alone lags, and the second alone misses load that only other
// VMs cause. Recent loads reported by all other VMs replace the report and get a higher weight.
func (e *Estimator) estimateOthers(now time.Time, state *upstreamState) float64 {
	ratio := e.othersRatio()
	projected := float64(state.inFlight) * ratio
	if len(state.peers) >= e.config.Senders-1 && now.Sub(state.oldestPeerAt) <= e.config.PeerTimeout {
		lagged := state.peerInFlight + float64(min(state.sentSincePeers, state.inFlight))*ratio
		return lagged*(1-projectedWeight) + projected*projectedWeight
	}
	if !state.hasReport || now.Sub(state.report.At) > e.config.ReportTimeout {
		return projected
	}
	lagged := state.others + float64(min(state.sentSinceReport, state.inFlight))*ratio
	return (lagged + projected) / 2
}

// othersRatio returns the ratio of other VMs' requests to local ones, over all upstreams.
func (e *Estimator) othersRatio() float64 {
	equalShare := float64(e.config.Senders - 1)
	if e.localSum < minLocalSum {
		return equalShare
	}
	return min(e.othersSum/e.localSum, maxRatioSkew*equalShare)
}

// prefillTime returns the expected time to first token: the prefill backlog of this and more urgent ranks, the prompt
// itself and one batch step, at the observed speed of the upstream.
func (e *Estimator) prefillTime(i, rank int, uncached float64) time.Duration {
	s := &e.summaries[i]
	return time.Duration((uncached+s.prefillBacklog[backlogIndex(rank)])*s.perToken + s.step)
}

// IdleFirstToken returns the expected time to first token on an idle upstream without cache hits.
func (e *Estimator) IdleFirstToken(promptTokens int) time.Duration {
	seconds := float64(promptTokens)/e.config.PrefillRate + e.config.StepTime.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// SlotTime returns the expected time that a request of a class occupies its slot in a batch.
func (e *Estimator) SlotTime(class Class) time.Duration {
	return time.Duration(e.DecodeTokens(class) * float64(e.config.StepTime))
}

// Work returns the expected work of a request in decode tokens. A prompt token counts as PrefillWeight of one.
func (e *Estimator) Work(class Class, promptTokens, hitTokens int) float64 {
	uncached := float64(max(promptTokens-hitTokens, 0))
	return e.DecodeTokens(class) + uncached*e.config.PrefillWeight
}
