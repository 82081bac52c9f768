package router

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Router selects upstreams of this availability zone and other zones to forward to. It is not safe for concurrent use.
type Router struct {
	config               Config
	estimator            *estimator.Estimator
	upstreams            []upstreamState
	upstreamsByModel     map[string][]int // indices into upstreams
	zoneNames            []string
	zoneAllowed          []bool
	zones                map[string]*zoneState
	zoneOrder            []string
	drainingIncarnations map[string]uint64 // highest by upstream name; kept when the upstream is removed
	forwarding           map[forwardingKey]bool
	prefixes             *prefixIndex
	meanHitShare         float64 // moving average of the cached share of a prompt
	matching             []uint64
	hitBlocks            []int16
	link                 linkMeter
	startTime            time.Time
}

// forwardingKey identifies the traffic to one availability zone for which forwarding is switched on or off.
type forwardingKey struct {
	zone  string
	model string
	rank  int
}

// New returns a Router without upstreams.
func New(config Config) *Router {
	r := &Router{
		config:               config,
		estimator:            estimator.New(config.Estimator),
		upstreamsByModel:     map[string][]int{},
		zones:                map[string]*zoneState{},
		drainingIncarnations: map[string]uint64{},
		forwarding:           map[forwardingKey]bool{},
		prefixes:             newPrefixIndex(prefixIndexCapacity),
	}
	r.zoneIndex(config.Zone)
	return r
}

// Estimator returns the load estimates used for routing. Callers must not modify it.
func (r *Router) Estimator() *estimator.Estimator {
	return r.estimator
}

// Step applies a message. Messages may be reordered, delayed or repeated; those about earlier incarnations are ignored.
func (r *Router) Step(now time.Time, m Message) {
	if r.startTime.IsZero() {
		r.startTime = now
	}
	r.estimator.Step(now, m)
	switch m := m.(type) {
	case UpstreamAdded:
		r.addUpstream(now, m)
	case RequestSent:
		r.recordSent(m)
	case RequestCompleted:
		r.releaseReservation(m.Upstream, m.RequestID)
	case RequestFailed:
		r.releaseReservation(m.Upstream, m.RequestID)
	case UpstreamRemoved:
		r.removeUpstream(m.Upstream)
	case CacheEvent:
		r.applyCacheEvent(m)
	case Draining:
		r.markDraining(m)
	case Suspect:
		r.setSuspect(now, m)
	case Reserved:
		r.setReservation(now, m)
	case ConcurrencyLimit:
		r.setLimit(m)
	case ZoneReport:
		r.applyZoneReport(now, m)
	case ZoneUnreachable:
		r.markZoneUnreachable(m)
	}
}

// Tick expires zone reports and reservations.
func (r *Router) Tick(now time.Time) {
	r.estimator.Tick(now)
	r.link.tick(now)
	for _, z := range r.zones {
		if z.fresh && now.Sub(z.report.At) > ZoneTimeout {
			z.fresh = false
			z.unreachable = true
		}
	}
	for i := range r.upstreams {
		if r.upstreams[i].reservedBy != "" && now.Sub(r.upstreams[i].reservedAt) > reservationTimeout {
			r.upstreams[i].reservedBy = ""
		}
	}
}

// Capacity returns the number of requests that the local upstreams of a model may run now, and the estimated number
// already outstanding.
func (r *Router) Capacity(now time.Time, model string) (slots, outstanding float64) {
	for _, i := range r.upstreamsByModel[model] {
		if r.upstreams[i].draining || r.upstreams[i].suspect {
			continue
		}
		slots += r.upstreams[i].currentLimit(now)
		outstanding += r.estimator.OutstandingAt(i)
	}
	return slots, outstanding
}

func (r *Router) find(u Upstream) (*upstreamState, int, bool) {
	i, ok := r.estimator.Index(u.Name)
	if !ok || i >= len(r.upstreams) || r.upstreams[i].upstream.Incarnation != u.Incarnation {
		return nil, 0, false
	}
	return &r.upstreams[i], i, true
}

func (r *Router) addUpstream(now time.Time, m UpstreamAdded) {
	i, ok := r.estimator.Index(m.Upstream.Name)
	if !ok {
		return
	}
	r.growTo(i + 1)
	old := r.upstreams[i]
	if old.occupied && old.upstream.Incarnation >= m.Upstream.Incarnation {
		r.setModels(i, m.Models)
		return
	}
	r.clearModels(i)
	r.prefixes.removeUpstream(i)
	r.upstreams[i] = upstreamState{
		upstream:         m.Upstream,
		occupied:         true,
		zoneIndex:        r.zoneIndex(m.Upstream.Zone),
		concurrencyLimit: float64(max(m.BatchLimit, 1)),
		hash:             mixBits(hashString(m.Upstream.Name)) | 1,
		cacheConfidence:  1,
	}
	draining, ok := r.drainingIncarnations[m.Upstream.Name]
	r.upstreams[i].draining = ok && m.Upstream.Incarnation <= draining
	if old.occupied || now.Sub(r.startTime) > StartupGrace {
		r.upstreams[i].ramping, r.upstreams[i].rampStart = true, now
	}
	r.setModels(i, m.Models)
}

func (r *Router) growTo(count int) {
	for len(r.upstreams) < count {
		r.upstreams = append(r.upstreams, upstreamState{})
	}
	r.prefixes.growTo(len(r.upstreams))
	r.matching = make([]uint64, r.prefixes.wordsPerDigest)
	r.hitBlocks = make([]int16, r.prefixes.wordsPerDigest*64)
}

func (r *Router) setModels(i int, models []string) {
	if slices.Equal(r.upstreams[i].models, models) {
		return
	}
	r.clearModels(i)
	r.upstreams[i].models = slices.Clone(models)
	for _, model := range models {
		r.upstreamsByModel[model] = append(r.upstreamsByModel[model], i)
	}
}

func (r *Router) clearModels(i int) {
	for _, model := range r.upstreams[i].models {
		r.upstreamsByModel[model] = slices.DeleteFunc(r.upstreamsByModel[model], func(k int) bool { return k == i })
	}
	r.upstreams[i].models = nil
}

func (r *Router) removeUpstream(u Upstream) {
	for i := range r.upstreams {
		if r.upstreams[i].occupied && r.upstreams[i].upstream == u {
			r.clearModels(i)
			r.prefixes.removeUpstream(i)
			r.upstreams[i] = upstreamState{}
		}
	}
}

func (r *Router) recordSent(m RequestSent) {
	if m.PromptTokens > 0 {
		r.meanHitShare += (float64(m.HitTokens)/float64(m.PromptTokens) - r.meanHitShare) * hitShareWeight
	}
	if _, i, ok := r.find(m.Upstream); ok {
		for _, d := range m.Prefix[:min(len(m.Prefix), maxIndexedBlocks)] {
			r.prefixes.add(i, d)
		}
	}
}

func (r *Router) releaseReservation(u Upstream, id string) {
	if state, _, ok := r.find(u); ok && state.reservedBy == id {
		state.reservedBy = ""
	}
}

func (r *Router) markDraining(m Draining) {
	r.drainingIncarnations[m.Upstream.Name] = max(r.drainingIncarnations[m.Upstream.Name], m.Upstream.Incarnation)
	if state, _, ok := r.find(m.Upstream); ok {
		state.draining = true
	}
}

func (r *Router) setSuspect(now time.Time, m Suspect) {
	state, _, ok := r.find(m.Upstream)
	if !ok {
		return
	}
	if state.suspect && !m.Suspected {
		state.ramping, state.rampStart = true, now
	}
	state.suspect = m.Suspected
}

func (r *Router) setReservation(now time.Time, m Reserved) {
	if state, _, ok := r.find(m.Upstream); ok {
		state.reservedBy, state.reservedAt = m.RequestID, now
	}
}

func (r *Router) setLimit(m ConcurrencyLimit) {
	if state, _, ok := r.find(m.Upstream); ok {
		state.concurrencyLimit = float64(max(m.Limit, 1))
	}
}

// applyCacheEvent updates the prefix index. A gap in the sequence lowers the confidence in the cache view, because
// blocks missing from it may still be cached.
func (r *Router) applyCacheEvent(m CacheEvent) {
	state, i, ok := r.find(m.Upstream)
	if !ok || (state.hasSequence && m.Sequence <= state.sequence) {
		return
	}
	if state.hasSequence && m.Sequence > state.sequence+1 {
		state.cacheConfidence = confidenceAfterGap
	}
	state.sequence = m.Sequence
	state.hasSequence = true
	if m.Cleared {
		r.prefixes.removeUpstream(i)
		state.cacheConfidence = 1
	}
	for _, d := range m.Removed {
		r.prefixes.remove(i, d)
	}
	for _, d := range m.Stored {
		r.prefixes.add(i, d)
	}
	state.cacheConfidence = min(state.cacheConfidence+confidencePerBlock*float64(len(m.Stored)), 1)
}
