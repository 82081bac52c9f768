package admitter

import (
	"math"
	"time"
)

// inFlightRequest is an admitted request that has not ended.
type inFlightRequest struct {
	rank       int
	work       float64
	admittedAt time.Time
}

// Admitter holds the request queues of one pool in one process. It is not safe for concurrent use.
type Admitter struct {
	config    Config
	ranks     []rankQueue
	inFlight  map[string]inFlightRequest
	positions map[string]queuePosition
	capacity  Capacity
}

// queuePosition locates a queued request.
type queuePosition struct {
	rank  int
	queue *orgQueue
}

// New returns an Admitter with empty queues and no capacity.
func New(config Config) *Admitter {
	a := &Admitter{config: config, inFlight: map[string]inFlightRequest{}, positions: map[string]queuePosition{}}
	for i, r := range config.Ranks {
		a.ranks = append(a.ranks, rankQueue{
			index:           i,
			guaranteedShare: r.GuaranteedShare,
			target:          r.FirstTokenTarget.Duration,
			maxWait:         r.MaxWait.Duration,
			queueLimit:      r.QueueLimit,
			queues:          map[string]*orgQueue{},
			served:          decayingSum{timeConstant: shareTimeConstant},
			arrivals:        decayingSum{timeConstant: demandTimeConstant},
			admitted:        decayingSum{timeConstant: rateTimeConstant},
			slotTime:        initialSlotTime,
		})
	}
	return a
}

// Step applies a message and returns the resulting decisions.
func (a *Admitter) Step(now time.Time, m Message) []Effect {
	return m.apply(a, now)
}

// Tick refuses requests that have waited too long and admits requests into free slots.
func (a *Admitter) Tick(now time.Time) []Effect {
	effects := a.refuseOverdue(now)
	for i := range a.ranks {
		a.ranks[i].dropIdleQueues(now)
	}
	return append(effects, a.dispatch(now)...)
}

// ExpectedWait returns the expected queueing time of a new request of an organisation.
func (a *Admitter) ExpectedWait(now time.Time, rank int, organisation string) time.Duration {
	if rank < 0 || rank >= len(a.ranks) {
		return 0
	}
	r := &a.ranks[rank]
	if r.queued == 0 && a.hasSlot(now, r, r.queueOf(organisation, a.config.Weights)) {
		return 0
	}
	return a.waitInQueue(now, r, r.queueOf(organisation, a.config.Weights))
}

// ExpectedWaits returns the expected queueing time of a new request by rank, for reports to other availability zones.
func (a *Admitter) ExpectedWaits(now time.Time) []time.Duration {
	waits := make([]time.Duration, len(a.ranks))
	for i := range a.ranks {
		waits[i] = a.rankWait(now, &a.ranks[i])
	}
	return waits
}

// rankWait returns the expected wait behind all queued requests of a rank, regardless of organisation.
func (a *Admitter) rankWait(now time.Time, r *rankQueue) time.Duration {
	if r.queued == 0 && a.freeSlots(now, r.index) >= 1 {
		return 0
	}
	return a.waitBehind(now, r, r.queued)
}

// admissionRate returns the requests per second that a rank admits while its queue is not empty.
func (a *Admitter) admissionRate(now time.Time, r *rankQueue) float64 {
	return max(r.admitted.rate(now), r.guaranteedShare*a.capacity.localShare()/r.slotTime.Seconds())
}

// Queued returns the number of queued requests of a rank.
func (a *Admitter) Queued(rank int) int {
	return a.ranks[rank].queued
}

// InFlight returns the number of admitted requests of a rank that have not ended.
func (a *Admitter) InFlight(rank int) int {
	return a.ranks[rank].inFlight
}

func (m Capacity) apply(a *Admitter, now time.Time) []Effect {
	a.capacity = m
	return a.dispatch(now)
}

func (m Done) apply(a *Admitter, now time.Time) []Effect {
	req, ok := a.inFlight[m.RequestID]
	if !ok {
		return nil
	}
	delete(a.inFlight, m.RequestID)
	r := &a.ranks[req.rank]
	r.inFlight--
	r.slotTime += time.Duration(float64(now.Sub(req.admittedAt)-r.slotTime) * slotTimeWeight)
	if m.Work > 0 {
		r.served.add(now, m.Work-req.work)
	}
	return a.dispatch(now)
}

func (m Cancel) apply(a *Admitter, now time.Time) []Effect {
	a.removeQueued(m.RequestID)
	return a.dispatch(now)
}

func (a *Admitter) removeQueued(id string) {
	p, ok := a.positions[id]
	if !ok {
		return
	}
	delete(a.positions, id)
	for i, queued := range p.queue.requests {
		if queued.request.RequestID == id {
			a.ranks[p.rank].removeAt(p.queue, i)
			return
		}
	}
}

func (m AdmissionRequest) apply(a *Admitter, now time.Time) []Effect {
	if m.Rank < 0 || m.Rank >= len(a.ranks) {
		return []Effect{Refuse{RequestID: m.RequestID, Reason: ReasonUnknownRank}}
	}
	r := &a.ranks[m.Rank]
	r.arrivals.add(now, 1)
	q := r.queueOf(m.Organisation, a.config.Weights)
	if a.capacity.Slots >= 1 && (r.queued > 0 || !a.hasSlot(now, r, q)) {
		if refusal, ok := a.refuseEarly(now, r, q, m); ok {
			return refusal
		}
	}
	r.enqueue(q, queuedRequest{request: m, queuedAt: now})
	a.positions[m.RequestID] = queuePosition{rank: m.Rank, queue: q}
	return append(a.enforceQueueLimit(now, r), a.dispatch(now)...)
}

// waitInQueue returns the expected wait of a new request in an organisation queue, behind all requests that fair
// queueing serves first.
func (a *Admitter) waitInQueue(now time.Time, r *rankQueue, q *orgQueue) time.Duration {
	return a.waitBehind(now, r, r.countAhead(q))
}

func (a *Admitter) waitBehind(now time.Time, r *rankQueue, ahead int) time.Duration {
	rate := a.admissionRate(now, r)
	if rate <= 0 {
		return r.maxWait
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// dispatch admits queued requests into free slots.
func (a *Admitter) dispatch(now time.Time) []Effect {
	var effects []Effect
	for {
		r := a.nextRank(now)
		if r == nil {
			return effects
		}
		effects = append(effects, a.admit(now, r))
	}
}

func (a *Admitter) admit(now time.Time, r *rankQueue) Effect {
	queued := r.dequeue(now, r.nextQueue())
	id := queued.request.RequestID
	delete(a.positions, id)
	a.inFlight[id] = inFlightRequest{rank: r.index, work: queued.request.Work, admittedAt: now}
	r.inFlight++
	r.served.add(now, queued.request.Work)
	r.admitted.add(now, 1)
	return Admit{RequestID: id, Rank: r.index, Waited: now.Sub(queued.queuedAt)}
}

// nextRank returns the rank to admit from: the one furthest below its guaranteed share, or else the most urgent. It
// returns nil if no request can be admitted.
func (a *Admitter) nextRank(now time.Time) *rankQueue {
	total := 0.0
	for i := range a.ranks {
		total += a.ranks[i].served.valueAt(now)
	}
	var urgent, underserved *rankQueue
	lowest := 1.0
	for i := range a.ranks {
		r := &a.ranks[i]
		if r.queued == 0 || !a.hasSlot(now, r, r.nextQueue()) {
			continue
		}
		if urgent == nil {
			urgent = r
		}
		if ratio := r.workRatio(now, total); ratio < lowest {
			lowest, underserved = ratio, r
		}
	}
	if underserved != nil {
		return underserved
	}
	return urgent
}

// workRatio returns the work of a rank relative to its guaranteed share of the total work.
func (r *rankQueue) workRatio(now time.Time, total float64) float64 {
	if r.guaranteedShare <= 0 || total <= 0 {
		return math.Inf(1)
	}
	return r.served.valueAt(now) / (r.guaranteedShare * total)
}
