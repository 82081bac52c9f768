package router

import (
	"math"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Route selects an upstream or another availability zone for a request. A forwarded request is counted immediately; one
// for an upstream is counted when RequestSent is passed to Step.
func (r *Router) Route(now time.Time, req *Request) Choice {
	var explanation Explanation
	if len(req.AllowedZones) == 0 {
		return noUpstream(ReasonNoAllowedZone, explanation)
	}
	r.markAllowedZones(req.AllowedZones)
	local := r.bestLocal(now, req, &explanation)
	if req.Exclusive && local.index >= 0 {
		return r.chooseExclusive(now, req, local, explanation)
	}
	explanation.LocalTime = req.LocalWait + local.firstToken
	best := r.bestRemote(now, req)
	explanation.RemoteTime, explanation.RemoteZone = best.firstToken, best.name
	if local.index < 0 {
		return r.forwardOrReject(now, req, best, explanation)
	}
	if r.shouldForward(now, req, explanation.LocalTime, best) {
		return r.chooseForward(req, best, ReasonRemoteFaster, explanation)
	}
	return r.chooseUpstream(local, explanation)
}

func (r *Router) chooseUpstream(local candidate, explanation Explanation) Choice {
	explanation.HitTokens = local.hitTokens
	explanation.FirstToken = local.firstToken
	explanation.Prefill = local.prefill
	return Choice{Kind: KindUpstream, Upstream: r.upstreams[local.index].upstream, Reason: local.reason, Explanation: explanation}
}

func (r *Router) chooseForward(req *Request, best remoteCandidate, reason Reason, explanation Explanation) Choice {
	best.zone.forwardedSinceReport++
	if best.zone.report.Region != r.config.Region {
		r.link.bytes += req.size()
	}
	explanation.FirstToken = best.firstToken
	return Choice{Kind: KindForward, Zone: best.name, Reason: reason, Explanation: explanation}
}

// forwardOrReject handles a request that no upstream in this availability zone can serve.
func (r *Router) forwardOrReject(now time.Time, req *Request, best remoteCandidate, explanation Explanation) Choice {
	explanation.LocalTime = 0
	if best.zone != nil && best.zone.takeForwardCredit(now) {
		return r.chooseForward(req, best, ReasonNoLocalUpstream, explanation)
	}
	explanation.RemoteTime = 0
	switch {
	case len(req.Hops) >= MaxHops:
		return noUpstream(ReasonHopLimit, explanation)
	case explanation.ExcludedDraining+explanation.ExcludedSuspect+explanation.ExcludedReserved > 0:
		return noUpstream(ReasonNoHealthyUpstream, explanation)
	case explanation.ExcludedResidency > 0:
		return noUpstream(ReasonNoAllowedZone, explanation)
	}
	return noUpstream(ReasonNoUpstreamForModel, explanation)
}

func noUpstream(reason Reason, explanation Explanation) Choice {
	return Choice{Kind: KindNone, Reason: reason, RetryAfter: noUpstreamRetryAfter, Explanation: explanation}
}

// candidate is a local upstream under consideration.
type candidate struct {
	index      int
	prefill    time.Duration // expected time to first token after getting a slot
	firstToken time.Duration // expected time to first token
	cost       time.Duration // firstToken plus load penalty and tie-break
	load       float64
	hitTokens  int // prompt tokens expected in the prefix cache
	reason     Reason
}

// scan is the state of one pass over the upstreams of a model.
type scan struct {
	now            time.Time
	req            *Request
	class          estimator.Class
	slotTime       time.Duration
	prefixHash     uint64 // hash of the prefix, 0 for no preference
	seed           uint64
	totalLoad      float64 // sum over all candidates
	best           candidate
	preferred      candidate // upstream with the highest rendezvous score for the prefix
	preferredScore uint64
}

func (req *Request) class() estimator.Class {
	return estimator.Class{Service: req.Service, Rank: req.Rank}
}

// bestLocal returns the upstream with the lowest cost that passes the hard filters. Its index is -1 if none does.
func (r *Router) bestLocal(now time.Time, req *Request, explanation *Explanation) candidate {
	clear(r.hitBlocks)
	r.prefixes.countHits(req.Prefix, r.matching, r.hitBlocks)
	s := scan{now: now, req: req, class: req.class(), slotTime: r.estimator.SlotTime(req.class()), seed: mixBits(hashString(req.ID)) | 1}
	s.best = candidate{index: -1, cost: math.MaxInt64}
	s.preferred = candidate{index: -1}
	if len(req.Prefix) > 0 {
		s.prefixHash = mixBits(uint64(req.Prefix[0])) | 1 // odd, so that no upstream always scores 0
	}
	for _, i := range r.upstreamsByModel[req.Model] {
		if r.passesFilters(i, req, explanation) {
			explanation.Candidates++
			r.evaluate(&s, i)
		}
	}
	return s.choose(r, explanation.Candidates)
}

// passesFilters applies the hard filters and counts the first one that excludes the upstream. The order of the filters
// is the one that the design documentation states.
func (r *Router) passesFilters(i int, req *Request, explanation *Explanation) bool {
	state := &r.upstreams[i]
	switch {
	case !r.zoneAllowed[state.zoneIndex]:
		explanation.ExcludedResidency++
	case state.draining:
		explanation.ExcludedDraining++
	case state.suspect || (len(req.Excluded) > 0 && slices.Contains(req.Excluded, state.upstream.Name)):
		explanation.ExcludedSuspect++
	case state.reservedBy != "" && state.reservedBy != req.ID:
		explanation.ExcludedReserved++
	default:
		return true
	}
	return false
}

// evaluate computes the cost of one upstream and updates the best and the preferred candidate.
func (r *Router) evaluate(s *scan, i int) {
	state := &r.upstreams[i]
	load := r.estimator.OutstandingAt(i)
	limit := state.currentLimit(s.now)
	hit := r.expectedHitTokens(s.req, state, i)
	prefill := r.estimator.FirstTokenAt(i, s.req.Rank, s.req.PromptTokens, hit)
	slotShare := 1 / limit
	firstToken := prefill + time.Duration(expectedOverflow(load+1-limit)*slotShare*float64(s.slotTime))
	utilisation := load * slotShare
	tieBreak := (s.seed * state.hash) >> tieBreakShift
	cost := firstToken + time.Duration(utilisation*utilisation*float64(fullLoadPenalty)) + time.Duration(tieBreak)
	s.totalLoad += load
	better := cost < s.best.cost
	score := (s.prefixHash * state.hash) >> rendezvousShift
	if !better && score <= s.preferredScore {
		return
	}
	c := candidate{index: i, prefill: prefill, firstToken: firstToken, cost: cost, load: load, hitTokens: hit, reason: ReasonFastest}
	if better {
		s.best = c
	}
	if score > s.preferredScore {
		s.preferredScore, s.preferred = score, c
	}
}

// expectedOverflow returns the expected number of requests without a slot, given the estimated excess over the slots
// and an estimation error of loadEstimateError: 0 well below the limit, the excess well above it, and a parabola in
// between.
func expectedOverflow(excess float64) float64 {
	const reach = 2 * loadEstimateError
	switch {
	case excess <= -reach:
		return 0
	case excess >= reach:
		return excess
	}
	return (excess + reach) * (excess + reach) / (4 * reach)
}

// choose returns the preferred upstream of the prefix if its load is within the bound and the prefill saved by later
// requests outweighs the higher cost. Otherwise it returns the upstream with the lowest cost.
func (s *scan) choose(r *Router, candidates int) candidate {
	best := s.best
	if best.index >= 0 && best.hitTokens > 0 {
		best.reason = ReasonPrefixHit
	}
	preferred := s.preferred
	if preferred.index < 0 || preferred.index == best.index || best.hitTokens > 0 {
		return best
	}
	bound := LoadBound*s.totalLoad/float64(candidates) + 1
	saved := r.estimator.IdleFirstToken(int(affinityHitShare * float64(s.req.PromptTokens)))
	if preferred.load > bound || preferred.cost-saved >= best.cost {
		return best
	}
	preferred.reason = ReasonAffinity
	return preferred
}

// expectedHitTokens returns the prompt tokens expected in the cache of an upstream. After lost cache events, it blends
// the known hits with the mean hit share according to the confidence in the cache view.
func (r *Router) expectedHitTokens(req *Request, state *upstreamState, i int) int {
	known := float64(r.hitBlocks[i]) * BlockTokens
	if state.cacheConfidence < 1 {
		unknown := r.meanHitShare * float64(req.PromptTokens)
		known = state.cacheConfidence*known + (1-state.cacheConfidence)*max(unknown, known)
	}
	return min(int(known), req.PromptTokens)
}

// chooseExclusive reserves the least loaded upstream for a suspected request and selects it once it is idle.
func (r *Router) chooseExclusive(now time.Time, req *Request, local candidate, explanation Explanation) Choice {
	selected := -1
	load := math.MaxFloat64
	for _, i := range r.upstreamsByModel[req.Model] {
		var ignored Explanation
		if !r.passesFilters(i, req, &ignored) {
			continue
		}
		current := r.estimator.OutstandingAt(i)
		if r.upstreams[i].reservedBy == req.ID {
			current = -1
		}
		if current < load {
			selected, load = i, current
		}
	}
	state := &r.upstreams[selected]
	if state.reservedBy == "" {
		state.reservedBy, state.reservedAt = req.ID, now
	}
	if r.estimator.OutstandingAt(selected) >= 1 {
		return noUpstream(ReasonNoIdleUpstream, explanation)
	}
	local.index = selected
	return r.chooseUpstream(local, explanation)
}
