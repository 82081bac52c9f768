package estimator

import "time"

// maxBacklogRanks is the number of ranks with a separate prefill backlog. Less urgent ranks share the last one.
const maxBacklogRanks = 4

// maxChanges bounds the history of local sends and ends per upstream, which is compared with lagging reports.
const maxChanges = 64

// upstreamState is the state of one upstream.
type upstreamState struct {
	upstream        Upstream
	occupied        bool
	batchLimit      int
	inFlight        int                      // local requests in flight
	prefillBacklog  [maxBacklogRanks]float64 // local prompt tokens not yet prefilled, by rank
	changes         []inFlightChange         // local sends and ends, oldest first
	report          LoadReport
	hasReport       bool
	others          float64 // moving average of other VMs' requests in reports
	sentSinceReport int     // local sends since the last report
	peers           []peerLoad
	peerInFlight    float64   // sum over peers
	oldestPeerAt    time.Time // time of the oldest entry in peers
	sentSincePeers  int       // local sends since oldestPeerAt
	slowness        float64   // moving average of the ratio of observed to expected time to first token
}

// summary caches the values that routing reads, computed when the state of the upstream changes.
type summary struct {
	outstanding    float64                  // estimated requests of all VMs
	prefillBacklog [maxBacklogRanks]float64 // local prompt tokens to prefill before a request, by rank
	perToken       float64                  // nanoseconds per prompt token at the observed speed
	step           float64                  // nanoseconds per batch step at the observed speed
}

// updateSummary recomputes the summary of an upstream.
func (e *Estimator) updateSummary(now time.Time, i int) {
	state := &e.upstreams[i]
	s := &e.summaries[i]
	s.outstanding = float64(state.inFlight) + e.estimateOthers(now, state)
	sum := 0.0
	for k, tokens := range state.prefillBacklog {
		sum += tokens
		s.prefillBacklog[k] = sum
	}
	s.perToken = state.slowness * float64(time.Second) / e.config.PrefillRate
	s.step = state.slowness * float64(e.config.StepTime)
}

// peerLoad is the load of another VM on an upstream, as reported by that VM.
type peerLoad struct {
	vm       string
	at       time.Time
	inFlight int
}

// inFlightChange is a local send (+1) or end (-1).
type inFlightChange struct {
	at    time.Time
	delta int
}

// request is a local request in flight.
type request struct {
	index              int
	class              Class
	sent               time.Time
	uncachedTokens     float64 // prompt tokens not expected in the cache
	expectedFirstToken time.Duration
	hasFirstToken      bool // the first token has arrived
}

func (state *upstreamState) recordChange(now time.Time, delta int) {
	if len(state.changes) == maxChanges {
		copy(state.changes, state.changes[1:])
		state.changes = state.changes[:maxChanges-1]
	}
	state.changes = append(state.changes, inFlightChange{at: now, delta: delta})
}

// inFlightAt returns the local requests in flight at an earlier time, and the number of local sends after it.
func (state *upstreamState) inFlightAt(at time.Time) (count, sentSince int) {
	count = state.inFlight
	for i := len(state.changes) - 1; i >= 0 && state.changes[i].at.After(at); i-- {
		count -= state.changes[i].delta
		if state.changes[i].delta > 0 {
			sentSince++
		}
	}
	return max(count, 0), sentSince
}

func backlogIndex(rank int) int {
	return min(max(rank, 0), maxBacklogRanks-1)
}
