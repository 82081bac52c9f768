package lessor

import (
	"slices"
	"time"
)

const (
	// headroomPercent is what a VM gets of its demand while there is enough for all.
	headroomPercent = 120
	// backlogTime is the time in which requests that wait should be served.
	backlogTime = time.Second
	// spreadPart is the part that is handed out however low the demand is, so that bursts are served. The rest remains
	// for demand that arises at other VMs, which is then served without waiting for shares to be reduced.
	spreadPart = Scale / 4 * 3
	// movingTime is how long demand that moves may seem to exceed the limit.
	movingTime = 3 * time.Second
	// wholeLimit is a demand of the whole limit, in shares of its leased part.
	wholeLimit = Scale * 8 / 7
	// maxWant limits what one VM can claim, and with it the numbers that are multiplied.
	maxWant = 100 * Scale
)

// Lessor holds the grants of one leader.
type Lessor struct {
	term     uint64
	ledFrom  time.Time
	sequence uint64
	holders  map[string]*holder
	sums     map[string]*sum
	// expiries are in the order of their time, since all grants last equally long.
	expiries []expiry
}

// sum is the total of an organisation over all VMs.
type sum struct {
	wants, demands, inForce int64
	// holders counts the VMs that contribute, once for each of the three.
	holders int
	// exceededFrom is since when the demand has exceeded the limit, or zero.
	exceededFrom time.Time
}

type expiry struct {
	at time.Time
	vm string
}

// New returns a lessor that may not grant until Lead was called.
func New() *Lessor {
	return &Lessor{holders: map[string]*holder{}, sums: map[string]*sum{}}
}

// Lead records that this process leads in a term. A new term begins without grants and with a wait for those of earlier
// leaders to end.
func (l *Lessor) Lead(now time.Time, term uint64) {
	if term == l.term {
		return
	}
	*l = *New()
	l.term, l.ledFrom = term, now
}

// MayGrant reports whether the grants of earlier leaders have ended.
func (l *Lessor) MayGrant(now time.Time) bool {
	return l.term != 0 && now.Sub(l.ledFrom) >= ElectionWait
}

// Grant returns the reply to the report of a VM. A VM without demand has no report. rate returns the units per second that
// an organisation may use in all, or 0 if it has no limit.
func (l *Lessor) Grant(now time.Time, vm string, report *Report, rate func(organisation string) float64) Grant {
	l.expire(now)
	grant := Grant{Term: l.term}
	if report == nil || !l.MayGrant(now) {
		return grant
	}
	h, ok := l.holders[vm]
	if !ok {
		h = newHolder()
		l.holders[vm] = h
	}
	if report.Term == l.term {
		h.confirm(report.Sequence)
	}
	l.setInForce(h)
	demands, wants := needs(report, rate)
	l.setDemands(h, demands, wants)
	l.sequence++
	grant.Sequence = l.sequence
	granted := vector{sequence: l.sequence, expiresAt: now.Add(LeaseTime), shares: map[string]int64{}}
	for i, name := range report.names() {
		if l.scarce(now, name) {
			grant.Scarce = append(grant.Scarce, i)
		}
		share := l.share(h, name)
		grant.Shares = append(grant.Shares, share)
		if share > 0 {
			granted.shares[name] = share
		}
	}
	h.add(granted)
	l.setInForce(h)
	l.expiries = append(l.expiries, expiry{at: granted.expiresAt, vm: vm})
	return grant
}

// names returns the organisations of a report that count.
func (r *Report) names() []string {
	return r.Organisations[:min(len(r.Organisations), len(r.Demands), MaxOrganisations)]
}

// needs returns the shares that the demand of a VM needs, and those that it would have if there were enough for all.
func needs(report *Report, rate func(organisation string) float64) (demands, wants map[string]int64) {
	demands, wants = map[string]int64{}, map[string]int64{}
	for i, name := range report.names() {
		limit := rate(name)
		if limit <= 0 || report.Demands[i] <= 0 {
			continue
		}
		demand := shareOf(float64(report.Demands[i]), limit)
		demands[name], wants[name] = demand, demand*headroomPercent/100
		if i < len(report.Backlogs) && report.Backlogs[i] > 0 {
			wants[name] = min(maxWant, wants[name]+shareOf(float64(report.Backlogs[i])/backlogTime.Seconds(), limit))
		}
	}
	return demands, wants
}

// shareOf returns the share that yields a rate.
func shareOf(rate, limit float64) int64 {
	return max(1, int64(min(rate/(LeasedPart*limit)*Scale, maxWant)))
}

// share returns what a VM may have of an organisation: its part by demand, as far as the others' grants leave it.
func (l *Lessor) share(h *holder, name string) int64 {
	want := h.wants[name]
	if want == 0 {
		return 0
	}
	total := l.sums[name].wants
	target := want
	switch {
	case total > Scale:
		target = want * Scale / total
	case total < spreadPart:
		target = want * spreadPart / total
	}
	others := l.sums[name].inForce - h.inForce[name]
	return max(0, min(target, Scale-others))
}

// scarce reports whether the demand of an organisation has long exceeded its limit. While demand moves, both the VMs that
// have it and those that had it report it.
func (l *Lessor) scarce(now time.Time, name string) bool {
	s, ok := l.sums[name]
	switch {
	case !ok:
		return false
	case s.demands <= wholeLimit:
		s.exceededFrom = time.Time{}
		return false
	case s.exceededFrom.IsZero():
		s.exceededFrom = now
	}
	return now.Sub(s.exceededFrom) > movingTime
}

// expire ends the grants whose time is over, and forgets the demand of VMs that have been silent for as long.
func (l *Lessor) expire(now time.Time) {
	due := 0
	for ; due < len(l.expiries) && !l.expiries[due].at.After(now); due++ {
		name := l.expiries[due].vm
		h, ok := l.holders[name]
		if !ok {
			continue
		}
		h.expire(now)
		l.setInForce(h)
		if len(h.vectors) == 0 {
			l.setDemands(h, nil, nil)
			delete(l.holders, name)
		}
	}
	l.expiries = slices.Delete(l.expiries, 0, due)
}

func (l *Lessor) setDemands(h *holder, demands, wants map[string]int64) {
	l.replace(h.demands, demands, func(s *sum, change int64) { s.demands += change })
	l.replace(h.wants, wants, func(s *sum, change int64) { s.wants += change })
	h.demands, h.wants = demands, wants
}

// setInForce updates the totals after the grants of a VM have changed.
func (l *Lessor) setInForce(h *holder) {
	next := h.largest()
	l.replace(h.inForce, next, func(s *sum, change int64) { s.inForce += change })
	h.inForce = next
}

// replace takes the values of one VM out of the totals and adds those that replace them.
func (l *Lessor) replace(previous, next map[string]int64, add func(s *sum, change int64)) {
	for name, value := range next {
		s, ok := l.sums[name]
		if !ok {
			s = &sum{}
			l.sums[name] = s
		}
		s.holders++
		add(s, value)
	}
	for name, value := range previous {
		s := l.sums[name]
		s.holders--
		add(s, -value)
		if s.holders == 0 {
			delete(l.sums, name)
		}
	}
}
