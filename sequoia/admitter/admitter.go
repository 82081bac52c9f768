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

// refuseEarly refuses a request whose expected wait exceeds its wait budget.
func (a *Admitter) refuseEarly(now time.Time, r *rankQueue, q *orgQueue, m AdmissionRequest) ([]Effect, bool) {
	wait := a.waitInQueue(now, r, q)
	if wait <= r.waitBudget(m) {
		return nil, false
	}
	return []Effect{Refuse{RequestID: m.RequestID, Reason: ReasonTargetUnreachable, RetryAfter: retryAfter(wait, r.waitBudget(m))}}, true
}

// enforceQueueLimit refuses the last request of the longest organisation queue if the rank exceeds its queue limit.
func (a *Admitter) enforceQueueLimit(now time.Time, r *rankQueue) []Effect {
	if r.queued <= r.queueLimit {
		return nil
	}
	q := r.longestQueue()
	last := q.requests[len(q.requests)-1]
	wait := a.waitInQueue(now, r, q)
	a.removeQueued(last.request.RequestID)
	return []Effect{Refuse{RequestID: last.request.RequestID, Reason: ReasonQueueFull, RetryAfter: retryAfter(wait, 0)}}
}

func (a *Admitter) refuseOverdue(now time.Time) []Effect {
	var effects []Effect
	for i := range a.ranks {
		r := &a.ranks[i]
		for _, queued := range r.overdue(now) {
			q := a.positions[queued.request.RequestID].queue
			wait := a.waitInQueue(now, r, q)
			a.removeQueued(queued.request.RequestID)
			effects = append(effects, Refuse{RequestID: queued.request.RequestID, Reason: a.overdueReason(), RetryAfter: retryAfter(wait, 0)})
		}
	}
	return effects
}

// overdueReason returns the reason for refusing an overdue request.
func (a *Admitter) overdueReason() Reason {
	if a.capacity.Slots < 1 {
		return ReasonNoCapacity
	}
	return ReasonWaitedTooLong
}

// overdue returns the queued requests that exceeded their wait budget.
func (r *rankQueue) overdue(now time.Time) []queuedRequest {
	var overdue []queuedRequest
	for _, q := range r.backlogged {
		for _, queued := range q.requests {
			if now.Sub(queued.queuedAt) > r.waitBudget(queued.request) {
				overdue = append(overdue, queued)
			}
		}
	}
	return overdue
}

// waitBudget returns the longest wait with which a request still meets its target, capped by the rank's maximum wait.
func (r *rankQueue) waitBudget(m AdmissionRequest) time.Duration {
	minWait := time.Duration(minWaitRatio * float64(r.target))
	left := time.Duration(usableTargetRatio*float64(r.target)) - m.FirstToken
	return min(max(left, minWait), r.maxWait)
}

func retryAfter(wait, budget time.Duration) time.Duration {
	return max(wait-budget, minRetryAfter)
}

// freeSlots returns the slots that a rank may still take: the unused part of this VM's equal share, or all slots that
// other VMs leave unused if that is more. Both exclude the slots reserved for more urgent ranks. Without the equal
// share, every VM could find the upstreams full because their estimates of each other lag.
func (a *Admitter) freeSlots(now time.Time, rank int) float64 {
	reserved := a.reservedSlots(now, rank)
	senders := float64(max(a.capacity.Senders, 1))
	share := a.capacity.localShare() - reserved
	unused := a.capacity.Slots - a.capacity.PeerInFlight - reserved*senders
	if rank < len(a.ranks)-1 {
		share -= placementReserve * a.capacity.localShare()
		unused -= placementReserve * a.capacity.Slots
	}
	return max(share, unused) - a.totalInFlight()
}

// hasSlot reports whether a slot is free for an organisation queue. An organisation above its fair share leaves a few
// slots to the others, except in the least urgent rank, where the others can wait.
func (a *Admitter) hasSlot(now time.Time, r *rankQueue, q *orgQueue) bool {
	free := a.freeSlots(now, r.index)
	if free >= 1+fairnessReserve*a.capacity.localShare() {
		return true
	}
	last := r.index == len(a.ranks)-1
	return free >= 1 && (last || !r.exceedsFairShare(now, q))
}

// totalInFlight returns the number of admitted requests of all ranks.
func (a *Admitter) totalInFlight() float64 {
	total := 0
	for i := range a.ranks {
		total += a.ranks[i].inFlight
	}
	return float64(total)
}

// reservedSlots returns the slots that a rank leaves free for arrivals of more urgent ranks.
func (a *Admitter) reservedSlots(now time.Time, rank int) float64 {
	total := 0.0
	for i := range a.ranks[:rank] {
		r := &a.ranks[i]
		demand := min(r.demand(now), r.guaranteedShare*a.capacity.localShare())
		burst := a.burstReserve(now, r)
		total += min(max(demand+burst-float64(r.inFlight), 0), burst)
	}
	return total
}

// burstReserve returns this VM's share of the slots kept free for bursts of a rank: a few standard deviations of the
// demand on all VMs, divided by the number of VMs, because bursts on different VMs seldom coincide. It shrinks to 0 as
// the demand of a rank grows beyond its guaranteed share, so that a flood does not reserve slots.
func (a *Admitter) burstReserve(now time.Time, r *rankQueue) float64 {
	guaranteed := r.guaranteedShare * a.capacity.localShare()
	demand := r.demand(now)
	if guaranteed <= 0 {
		return 0
	}
	weight := min(max(maxDemandRatio-demand/guaranteed, 0), 1)
	senders := float64(max(a.capacity.Senders, 1))
	return weight * burstDeviations * math.Sqrt(min(demand, guaranteed)*senders) / senders
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
