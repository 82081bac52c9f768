package estimator

import "time"

// maxRanks bounds the ranks whose prefill backlog is kept apart; later ranks share the last row.
const maxRanks = 4

// changeHistory bounds the own sends and ends remembered per upstream, to compare with a late report.
const changeHistory = 64

// row is the state of one upstream.
type row struct {
	upstream       Upstream
	used           bool
	batchLimit     int
	own            int               // own requests in flight
	backlog        [maxRanks]float64 // own prompt tokens sent and not yet prefilled, by rank
	changes        []change          // own sends and ends, oldest first
	report         LoadReport
	reported       bool
	others         float64 // requests of other VMs at the last report, smoothed
	sentSince      int     // own sends since the last report was taken
	peers          []peer
	peerSum        float64   // requests of all known peers
	peerAt         time.Time // time of the oldest statement in peerSum
	sentSincePeers int       // own sends since peerAt
	slowness       float64   // observed time to first token over the expected one, smoothed
}

// summary holds what decisions read about an upstream, computed when its row changes.
type summary struct {
	outstanding float64           // estimated requests of all VMs
	backlog     [maxRanks]float64 // own prompt tokens to prefill before a request of each rank
	perToken    float64           // nanoseconds for one prompt token, at the observed speed
	step        float64           // nanoseconds for one batch step, at the observed speed
}

// refresh computes the summary of a row.
func (e *Estimator) refresh(now time.Time, i int) {
	r := &e.rows[i]
	s := &e.summaries[i]
	s.outstanding = float64(r.own) + e.othersOn(now, r)
	sum := 0.0
	for k, tokens := range r.backlog {
		sum += tokens
		s.backlog[k] = sum
	}
	s.perToken = r.slowness * float64(time.Second) / e.config.PrefillRate
	s.step = r.slowness * float64(e.config.StepTime)
}

// peer is what another VM stated about its own requests on an upstream.
type peer struct {
	vm  string
	at  time.Time
	own int
}

// change is one own send (+1) or end (-1).
type change struct {
	at    time.Time
	delta int
}

// flight is one own request in flight.
type flight struct {
	row      int
	class    Class
	sent     time.Time
	left     float64 // prompt tokens to prefill
	expected time.Duration
	started  bool // first token arrived
}

func (r *row) record(now time.Time, delta int) {
	if len(r.changes) == changeHistory {
		copy(r.changes, r.changes[1:])
		r.changes = r.changes[:changeHistory-1]
	}
	r.changes = append(r.changes, change{at: now, delta: delta})
}

// ownAt returns the own requests in flight at an earlier time, and the own sends after it.
func (r *row) ownAt(at time.Time) (count, sentSince int) {
	count = r.own
	for i := len(r.changes) - 1; i >= 0 && r.changes[i].at.After(at); i-- {
		count -= r.changes[i].delta
		if r.changes[i].delta > 0 {
			sentSince++
		}
	}
	return max(count, 0), sentSince
}

func rankRow(rank int) int {
	return min(max(rank, 0), maxRanks-1)
}
