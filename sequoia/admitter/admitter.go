package admitter

import (
	"math"
	"time"
)

// flight is one admitted request.
type flight struct {
	rank  int
	work  float64
	since time.Time
}

// Admitter holds the queues of one pool in one process.
type Admitter struct {
	config   Config
	ranks    []rank
	flights  map[string]flight
	queuedIn map[string]place
	capacity Capacity
}

// place says where a queued request is.
type place struct {
	rank int
	line *line
}

// New returns an admitter with empty queues and no capacity.
func New(config Config) *Admitter {
	a := &Admitter{config: config, flights: map[string]flight{}, queuedIn: map[string]place{}}
	for i, r := range config.Ranks {
		a.ranks = append(a.ranks, rank{
			number:   i,
			share:    r.GuaranteedShare,
			target:   r.FirstTokenTarget.Duration,
			maxWait:  r.MaxWait.Duration,
			limit:    r.QueueLimit,
			lines:    map[string]*line{},
			served:   decayed{memory: shareMemory},
			arrivals: decayed{memory: demandMemory},
			admitted: decayed{memory: rateMemory},
			hold:     firstHold,
		})
	}
	return a
}

// Step takes in one message and returns the decisions that follow from it.
func (a *Admitter) Step(now time.Time, m Message) []Effect {
	return m.apply(a, now)
}

// Tick refuses requests that waited too long and admits those for which slots became free.
func (a *Admitter) Tick(now time.Time) []Effect {
	effects := a.expire(now)
	for i := range a.ranks {
		a.ranks[i].forget(now)
	}
	return append(effects, a.dispatch(now)...)
}

// ExpectedWait returns the wait that a request of an organisation would have now.
func (a *Admitter) ExpectedWait(now time.Time, rank int, organisation string) time.Duration {
	if rank < 0 || rank >= len(a.ranks) {
		return 0
	}
	r := &a.ranks[rank]
	if r.queued == 0 && a.fits(now, r, r.line(organisation, a.config.Weights)) {
		return 0
	}
	return a.wait(now, r, r.line(organisation, a.config.Weights))
}

// Waits returns the expected wait of a new request of each rank, for the reports to other availability zones.
func (a *Admitter) ExpectedWaits(now time.Time) []time.Duration {
	waits := make([]time.Duration, len(a.ranks))
	for i := range a.ranks {
		waits[i] = a.rankWait(now, &a.ranks[i])
	}
	return waits
}

// rankWait is the wait behind all queued requests of a rank, whatever their organisation.
func (a *Admitter) rankWait(now time.Time, r *rank) time.Duration {
	if r.queued == 0 && a.room(now, r.number) >= 1 {
		return 0
	}
	return a.waitBehind(now, r, r.queued)
}

// rate is the requests of a rank that are admitted in a second while its queue is not empty.
func (a *Admitter) rate(now time.Time, r *rank) float64 {
	return max(r.admitted.rate(now), r.share*a.capacity.part()/r.hold.Seconds())
}

// Queued returns the queued requests of a rank.
func (a *Admitter) Queued(rank int) int {
	return a.ranks[rank].queued
}

// InFlight returns the admitted requests of a rank that did not end yet.
func (a *Admitter) InFlight(rank int) int {
	return a.ranks[rank].inFlight
}

func (m Capacity) apply(a *Admitter, now time.Time) []Effect {
	a.capacity = m
	return a.dispatch(now)
}

func (m Done) apply(a *Admitter, now time.Time) []Effect {
	f, ok := a.flights[m.RequestID]
	if !ok {
		return nil
	}
	delete(a.flights, m.RequestID)
	r := &a.ranks[f.rank]
	r.inFlight--
	r.hold += time.Duration(float64(now.Sub(f.since)-r.hold) * holdWeight)
	if m.Work > 0 {
		r.served.add(now, m.Work-f.work)
	}
	return a.dispatch(now)
}

func (m Cancel) apply(a *Admitter, now time.Time) []Effect {
	a.remove(m.RequestID)
	return a.dispatch(now)
}

func (a *Admitter) remove(id string) {
	p, ok := a.queuedIn[id]
	if !ok {
		return
	}
	delete(a.queuedIn, id)
	for i, it := range p.line.items {
		if it.offer.RequestID == id {
			a.ranks[p.rank].cut(p.line, i)
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
	l := r.line(m.Organisation, a.config.Weights)
	if a.capacity.Slots >= 1 && (r.queued > 0 || !a.fits(now, r, l)) {
		if refusal, ok := a.early(now, r, l, m); ok {
			return refusal
		}
	}
	r.push(l, item{offer: m, since: now})
	a.queuedIn[m.RequestID] = place{rank: m.Rank, line: l}
	return append(a.shorten(now, r), a.dispatch(now)...)
}

// early refuses a request whose expected wait is longer than its target leaves.
func (a *Admitter) early(now time.Time, r *rank, l *line, m AdmissionRequest) ([]Effect, bool) {
	wait := a.wait(now, r, l)
	if wait <= r.budget(m) {
		return nil, false
	}
	return []Effect{Refuse{RequestID: m.RequestID, Reason: ReasonTargetUnreachable, RetryAfter: retryAfter(wait, r.budget(m))}}, true
}

// shorten refuses the last request of the longest line when the queue is over its limit.
func (a *Admitter) shorten(now time.Time, r *rank) []Effect {
	if r.queued <= r.limit {
		return nil
	}
	l := r.longest()
	last := l.items[len(l.items)-1]
	wait := a.wait(now, r, l)
	a.remove(last.offer.RequestID)
	return []Effect{Refuse{RequestID: last.offer.RequestID, Reason: ReasonQueueFull, RetryAfter: retryAfter(wait, 0)}}
}

func (a *Admitter) expire(now time.Time) []Effect {
	var effects []Effect
	for i := range a.ranks {
		r := &a.ranks[i]
		for _, it := range r.late(now) {
			l := a.queuedIn[it.offer.RequestID].line
			wait := a.wait(now, r, l)
			a.remove(it.offer.RequestID)
			effects = append(effects, Refuse{RequestID: it.offer.RequestID, Reason: a.expiry(), RetryAfter: retryAfter(wait, 0)})
		}
	}
	return effects
}

// expiry is the reason for which a queued request waited too long.
func (a *Admitter) expiry() Reason {
	if a.capacity.Slots < 1 {
		return ReasonNoCapacity
	}
	return ReasonWaitedTooLong
}

// late returns the queued requests that waited longer than their target leaves.
func (r *rank) late(now time.Time) []item {
	var late []item
	for _, l := range r.active {
		for _, it := range l.items {
			if now.Sub(it.since) > r.budget(it.offer) {
				late = append(late, it)
			}
		}
	}
	return late
}

// budget is the longest wait with which a request still meets its target, and never more than the rank allows.
func (r *rank) budget(m AdmissionRequest) time.Duration {
	least := time.Duration(leastWaitPart * float64(r.target))
	left := time.Duration(targetPart*float64(r.target)) - m.FirstToken
	return min(max(left, least), r.maxWait)
}

func retryAfter(wait, budget time.Duration) time.Duration {
	return max(wait-budget, leastRetry)
}

// room returns the slots that a rank may still take: what is left of an equal part, or what all VMs leave, in both
// cases without what is reserved for more urgent ranks. Without the equal part, VMs that all see late estimates of
// each other would each find the upstreams full.
func (a *Admitter) room(now time.Time, number int) float64 {
	reserved := a.reserved(now, number)
	senders := float64(max(a.capacity.Senders, 1))
	part := a.capacity.part() - reserved
	left := a.capacity.Slots - a.capacity.PeerInFlight - reserved*senders
	if number < len(a.ranks)-1 {
		part -= placementSpare * a.capacity.part()
		left -= placementSpare * a.capacity.Slots
	}
	return max(part, left) - a.held()
}

// fits says whether a slot is free for a line; one that had more than its fair share leaves a few to the others, except
// in the least urgent rank, where the others can wait.
func (a *Admitter) fits(now time.Time, r *rank, l *line) bool {
	room := a.room(now, r.number)
	if room >= 1+fairSpare*a.capacity.part() {
		return true
	}
	last := r.number == len(a.ranks)-1
	return room >= 1 && (last || !r.overFair(now, l))
}

// held returns the admitted requests.
func (a *Admitter) held() float64 {
	total := 0
	for i := range a.ranks {
		total += a.ranks[i].inFlight
	}
	return float64(total)
}

// reserved returns the slots that a rank leaves free for the arrivals of more urgent ranks.
func (a *Admitter) reserved(now time.Time, number int) float64 {
	total := 0.0
	for i := range a.ranks[:number] {
		r := &a.ranks[i]
		demand := min(r.demand(now), r.share*a.capacity.part())
		burst := a.burst(now, r)
		total += min(max(demand+burst-float64(r.inFlight), 0), burst)
	}
	return total
}

// burst is a few standard deviations of the demand of a rank on all VMs, divided by the VMs, because bursts on
// different VMs seldom coincide. It fades out when a rank asks for more than its guaranteed share: a flood has no
// claim to free slots.
func (a *Admitter) burst(now time.Time, r *rank) float64 {
	guaranteed := r.share * a.capacity.part()
	demand := r.demand(now)
	if guaranteed <= 0 {
		return 0
	}
	claim := min(max(mostClaim-demand/guaranteed, 0), 1)
	senders := float64(max(a.capacity.Senders, 1))
	return claim * burstDeviations * math.Sqrt(min(demand, guaranteed)*senders) / senders
}

// wait is the expected wait of a new request of a line: those that fair queueing serves before it, and itself.
func (a *Admitter) wait(now time.Time, r *rank, l *line) time.Duration {
	return a.waitBehind(now, r, r.ahead(l))
}

func (a *Admitter) waitBehind(now time.Time, r *rank, ahead int) time.Duration {
	rate := a.rate(now, r)
	if rate <= 0 {
		return r.maxWait
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// dispatch admits queued requests while slots are free.
func (a *Admitter) dispatch(now time.Time) []Effect {
	var effects []Effect
	for {
		r := a.next(now)
		if r == nil {
			return effects
		}
		effects = append(effects, a.admit(now, r))
	}
}

func (a *Admitter) admit(now time.Time, r *rank) Effect {
	it := r.pop(now, r.first())
	id := it.offer.RequestID
	delete(a.queuedIn, id)
	a.flights[id] = flight{rank: r.number, work: it.offer.Work, since: now}
	r.inFlight++
	r.served.add(now, it.offer.Work)
	r.admitted.add(now, 1)
	return Admit{RequestID: id, Rank: r.number, Waited: now.Sub(it.since)}
}

// next returns the rank to admit from: the one furthest below its guaranteed share, else the most urgent.
func (a *Admitter) next(now time.Time) *rank {
	total := 0.0
	for i := range a.ranks {
		total += a.ranks[i].served.read(now)
	}
	var urgent, behind *rank
	lowest := 1.0
	for i := range a.ranks {
		r := &a.ranks[i]
		if r.queued == 0 || !a.fits(now, r, r.first()) {
			continue
		}
		if urgent == nil {
			urgent = r
		}
		if part := r.part(now, total); part < lowest {
			lowest, behind = part, r
		}
	}
	if behind != nil {
		return behind
	}
	return urgent
}

// part is the work of a rank over its guaranteed share of all work.
func (r *rank) part(now time.Time, total float64) float64 {
	if r.share <= 0 || total <= 0 {
		return math.Inf(1)
	}
	return r.served.read(now) / (r.share * total)
}
