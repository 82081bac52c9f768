package router

import (
	"math"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Route chooses the place of a request. A forward counts as sent to the other availability zone at once; an
// upstream counts when Sent is stepped in.
func (r *Router) Route(now time.Time, q *Request) Choice {
	var x Explanation
	if len(q.AllowedZones) == 0 {
		return none(ReasonNoAllowedZone, x)
	}
	r.setAllowed(q.AllowedZones)
	local := r.bestLocal(now, q, &x)
	if q.Exclusive && local.row >= 0 {
		return r.alone(now, q, local, x)
	}
	x.LocalTime = q.LocalWait + local.time
	best := r.bestRemote(now, q)
	x.RemoteTime, x.RemoteZone = best.time, best.name
	if local.row < 0 {
		return r.forwardOnly(now, q, best, x)
	}
	if r.crosses(now, q, x.LocalTime, best) {
		return r.forward(q, best, ReasonRemoteFaster, x)
	}
	return r.choose(local, x)
}

func (r *Router) choose(local candidate, x Explanation) Choice {
	x.HitTokens = local.hit
	x.FirstToken = local.time
	x.Prefill = local.prefill
	return Choice{Kind: KindUpstream, Upstream: r.rows[local.row].upstream, Reason: local.reason, Explanation: x}
}

func (r *Router) forward(q *Request, best remote, reason Reason, x Explanation) Choice {
	best.zone.forwarded++
	if best.zone.report.Region != r.config.Region {
		r.link.bytes += q.bytes()
	}
	x.FirstToken = best.time
	return Choice{Kind: KindForward, Zone: best.name, Reason: reason, Explanation: x}
}

// forwardOnly handles a request that no upstream here can take.
func (r *Router) forwardOnly(now time.Time, q *Request, best remote, x Explanation) Choice {
	x.LocalTime = 0
	if best.zone != nil && best.zone.take(now) {
		return r.forward(q, best, ReasonNoLocalUpstream, x)
	}
	x.RemoteTime = 0
	switch {
	case len(q.Hops) >= MaxHops:
		return none(ReasonHopLimit, x)
	case x.ExcludedDraining+x.ExcludedSuspect+x.ExcludedReserved > 0:
		return none(ReasonNoHealthyUpstream, x)
	case x.ExcludedResidency > 0:
		return none(ReasonNoAllowedZone, x)
	}
	return none(ReasonNoUpstreamForModel, x)
}

func none(reason Reason, x Explanation) Choice {
	return Choice{Kind: KindNone, Reason: reason, RetryAfter: unknownRetry, Explanation: x}
}

// candidate is an upstream under consideration.
type candidate struct {
	row     int
	prefill time.Duration // expected time to first token once it has a slot
	time    time.Duration // expected time to first token
	cost    time.Duration // time with the price of load
	load    float64
	hit     int // prompt tokens expected in the cache
	reason  Reason
}

// scan carries the state of one pass over the upstreams of a model.
type scan struct {
	now      time.Time
	q        *Request
	class    estimator.Class
	slotTime time.Duration
	prefer   uint64 // hash of the prefix, or 0 for no preference
	seed     uint64
	total    float64 // load of all candidates
	best     candidate
	favoured candidate // preferred upstream of the prefix
	favour   uint64
}

func (q *Request) class() estimator.Class {
	return estimator.Class{Service: q.Service, Rank: q.Rank}
}

// bestLocal finds the upstream with the lowest cost that passes the hard filters; its row is -1 when none does.
func (r *Router) bestLocal(now time.Time, q *Request, x *Explanation) candidate {
	clear(r.hits)
	r.prefixes.hits(q.Prefix, r.alive, r.hits)
	s := scan{now: now, q: q, class: q.class(), slotTime: r.load.SlotTime(q.class()), seed: mix(hashText(q.ID)) | 1}
	s.best = candidate{row: -1, cost: math.MaxInt64}
	s.favoured = candidate{row: -1}
	if len(q.Prefix) > 0 {
		s.prefer = mix(uint64(q.Prefix[0])) | 1 // odd, so that no upstream is out of the ranking
	}
	for _, i := range r.models[q.Model] {
		if r.passes(i, q, x) {
			x.Candidates++
			r.consider(&s, i)
		}
	}
	return s.preferred(r, x.Candidates)
}

// passes applies the hard filters in the order that the design page states.
func (r *Router) passes(i int, q *Request, x *Explanation) bool {
	row := &r.rows[i]
	switch {
	case !r.zoneAllowed[row.zone]:
		x.ExcludedResidency++
	case row.leaving:
		x.ExcludedDraining++
	case row.suspect || (len(q.Excluded) > 0 && slices.Contains(q.Excluded, row.upstream.Name)):
		x.ExcludedSuspect++
	case row.reservedBy != "" && row.reservedBy != q.ID:
		x.ExcludedReserved++
	default:
		return true
	}
	return false
}

// consider weighs one upstream.
func (r *Router) consider(s *scan, i int) {
	row := &r.rows[i]
	load := r.load.OutstandingAt(i)
	allowed := row.allowed(s.now)
	hit := r.expectedHit(s.q, row, i)
	prefill := r.load.FirstTokenAt(i, s.q.Rank, s.q.PromptTokens, hit)
	part := 1 / allowed
	t := prefill + time.Duration(overflow(load+1-allowed)*part*float64(s.slotTime))
	use := load * part
	tie := (s.seed * row.hash) >> tieShift
	cost := t + time.Duration(use*use*float64(loadPrice)) + time.Duration(tie)
	s.total += load
	better := cost < s.best.cost
	favour := (s.prefer * row.hash) >> favourShift
	if !better && favour <= s.favour {
		return
	}
	c := candidate{row: i, prefill: prefill, time: t, cost: cost, load: load, hit: hit, reason: ReasonFastest}
	if better {
		s.best = c
	}
	if favour > s.favour {
		s.favour, s.favoured = favour, c
	}
}

// overflow is the expected number of requests without a slot when the estimate exceeds the slots by some and may be
// wrong by loadError: 0 well below, the excess well above, and a parabola between.
func overflow(excess float64) float64 {
	const reach = 2 * loadError
	switch {
	case excess <= -reach:
		return 0
	case excess >= reach:
		return excess
	}
	return (excess + reach) * (excess + reach) / (4 * reach)
}

// preferred returns the upstream to which the prefix belongs when its load is within the bound and the prompt saved
// later is worth the difference in cost, else the one with the lowest cost.
func (s *scan) preferred(r *Router, considered int) candidate {
	best := s.best
	if best.row >= 0 && best.hit > 0 {
		best.reason = ReasonPrefixHit
	}
	f := s.favoured
	if f.row < 0 || f.row == best.row || best.hit > 0 {
		return best
	}
	bound := LoadBound*s.total/float64(considered) + 1
	saved := r.load.IdleFirstToken(int(affinityShare * float64(s.q.PromptTokens)))
	if f.load > bound || f.cost-saved >= best.cost {
		return best
	}
	f.reason = ReasonAffinity
	return f
}

// expectedHit is the prompt tokens expected in a cache: the known ones as far as the view is trusted, and the usual
// share for the part that is unknown after a gap.
func (r *Router) expectedHit(q *Request, row *row, i int) int {
	known := float64(r.hits[i]) * BlockTokens
	if row.confidence < 1 {
		unknown := r.usualHit * float64(q.PromptTokens)
		known = row.confidence*known + (1-row.confidence)*max(unknown, known)
	}
	return min(int(known), q.PromptTokens)
}

// alone reserves the least loaded upstream for a suspected request, which goes there once it is idle.
func (r *Router) alone(now time.Time, q *Request, local candidate, x Explanation) Choice {
	pick := -1
	load := math.MaxFloat64
	for _, i := range r.models[q.Model] {
		var ignored Explanation
		if !r.passes(i, q, &ignored) {
			continue
		}
		l := r.load.OutstandingAt(i)
		if r.rows[i].reservedBy == q.ID {
			l = -1
		}
		if l < load {
			pick, load = i, l
		}
	}
	row := &r.rows[pick]
	if row.reservedBy == "" {
		row.reservedBy, row.reserved = q.ID, now
	}
	if r.load.OutstandingAt(pick) >= 1 {
		return none(ReasonNoIdleUpstream, x)
	}
	local.row = pick
	return r.choose(local, x)
}
