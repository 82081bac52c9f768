package router

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// Router holds the upstreams that this process can call and the aggregates of other availability zones.
type Router struct {
	config      Config
	load        *estimator.Estimator
	rows        []row
	models      map[string][]int // rows that serve a model
	zoneNames   []string
	zoneAllowed []bool
	zones       map[string]*zone
	zoneOrder   []string
	left        map[string]uint64 // highest incarnation of each upstream that is leaving; outlives the row
	crossing    map[crossingKey]bool
	prefixes    *prefixIndex
	usualHit    float64 // share of a prompt that is usually found in a cache
	alive       []uint64
	hits        []int16
	link        linkMeter
	started     time.Time
}

// crossingKey names the traffic that crosses, or not, to one availability zone.
type crossingKey struct {
	zone  string
	model string
	rank  int
}

// New returns a router without upstreams.
func New(config Config) *Router {
	r := &Router{
		config:   config,
		load:     estimator.New(config.Estimator),
		models:   map[string][]int{},
		zones:    map[string]*zone{},
		left:     map[string]uint64{},
		crossing: map[crossingKey]bool{},
		prefixes: newPrefixIndex(indexCapacity),
	}
	r.zoneNumber(config.Zone)
	return r
}

// Estimator returns the load estimates behind the choices, for reading.
func (r *Router) Estimator() *estimator.Estimator {
	return r.load
}

// Step takes in one message, in any order, late or repeated; messages about earlier incarnations are ignored.
func (r *Router) Step(now time.Time, m Message) {
	if r.started.IsZero() {
		r.started = now
	}
	r.load.Step(now, m)
	switch m := m.(type) {
	case UpstreamAdded:
		r.seen(now, m)
	case RequestSent:
		r.sent(m)
	case RequestCompleted:
		r.released(m.Upstream, m.RequestID)
	case RequestFailed:
		r.released(m.Upstream, m.RequestID)
	case UpstreamRemoved:
		r.gone(m.Upstream)
	case CacheEvent:
		r.cacheEvent(m)
	case Draining:
		r.leaving(m)
	case Suspect:
		r.suspect(now, m)
	case Reserved:
		r.reserved(now, m)
	case ConcurrencyLimit:
		r.limited(m)
	case ZoneReport:
		r.zoneReported(now, m)
	case ZoneUnreachable:
		r.zoneLost(m)
	}
}

// Tick drops expired knowledge of other availability zones and expired reservations.
func (r *Router) Tick(now time.Time) {
	r.load.Tick(now)
	r.link.tick(now)
	for _, z := range r.zones {
		if z.fresh && now.Sub(z.report.At) > ZoneTimeout {
			z.fresh = false
			z.lost = true
		}
	}
	for i := range r.rows {
		if r.rows[i].reservedBy != "" && now.Sub(r.rows[i].reserved) > reserveTimeout {
			r.rows[i].reservedBy = ""
		}
	}
}

// Capacity returns the requests that the upstreams of a model here may hold now, and the estimate of those held.
func (r *Router) Capacity(now time.Time, model string) (slots, outstanding float64) {
	for _, i := range r.models[model] {
		if r.rows[i].leaving || r.rows[i].suspect {
			continue
		}
		slots += r.rows[i].allowed(now)
		outstanding += r.load.OutstandingAt(i)
	}
	return slots, outstanding
}

func (r *Router) find(u Upstream) (*row, int, bool) {
	i, ok := r.load.Index(u.Name)
	if !ok || i >= len(r.rows) || r.rows[i].upstream.Incarnation != u.Incarnation {
		return nil, 0, false
	}
	return &r.rows[i], i, true
}

func (r *Router) seen(now time.Time, m UpstreamAdded) {
	i, ok := r.load.Index(m.Upstream.Name)
	if !ok {
		return
	}
	r.grow(i + 1)
	old := r.rows[i]
	if old.used && old.upstream.Incarnation >= m.Upstream.Incarnation {
		r.serve(i, m.Models)
		return
	}
	r.unserve(i)
	r.prefixes.removeRow(i)
	r.rows[i] = row{
		upstream:   m.Upstream,
		used:       true,
		zone:       r.zoneNumber(m.Upstream.Zone),
		limit:      float64(max(m.BatchLimit, 1)),
		hash:       mix(hashText(m.Upstream.Name)) | 1,
		confidence: 1,
	}
	left, ok := r.left[m.Upstream.Name]
	r.rows[i].leaving = ok && m.Upstream.Incarnation <= left
	if old.used || now.Sub(r.started) > StartupGrace {
		r.rows[i].returning, r.rows[i].returned = true, now
	}
	r.serve(i, m.Models)
}

func (r *Router) grow(rows int) {
	for len(r.rows) < rows {
		r.rows = append(r.rows, row{})
	}
	r.prefixes.reserve(len(r.rows))
	r.alive = make([]uint64, r.prefixes.words)
	r.hits = make([]int16, r.prefixes.words*64)
}

func (r *Router) serve(i int, models []string) {
	if slices.Equal(r.rows[i].models, models) {
		return
	}
	r.unserve(i)
	r.rows[i].models = slices.Clone(models)
	for _, model := range models {
		r.models[model] = append(r.models[model], i)
	}
}

func (r *Router) unserve(i int) {
	for _, model := range r.rows[i].models {
		r.models[model] = slices.DeleteFunc(r.models[model], func(k int) bool { return k == i })
	}
	r.rows[i].models = nil
}

func (r *Router) gone(u Upstream) {
	for i := range r.rows {
		if r.rows[i].used && r.rows[i].upstream == u {
			r.unserve(i)
			r.prefixes.removeRow(i)
			r.rows[i] = row{}
		}
	}
}

func (r *Router) sent(m RequestSent) {
	if m.PromptTokens > 0 {
		r.usualHit += (float64(m.HitTokens)/float64(m.PromptTokens) - r.usualHit) * hitWeight
	}
	if _, i, ok := r.find(m.Upstream); ok {
		for _, d := range m.Prefix[:min(len(m.Prefix), maxBlocks)] {
			r.prefixes.add(i, d)
		}
	}
}

func (r *Router) released(u Upstream, id string) {
	if row, _, ok := r.find(u); ok && row.reservedBy == id {
		row.reservedBy = ""
	}
}

func (r *Router) leaving(m Draining) {
	r.left[m.Upstream.Name] = max(r.left[m.Upstream.Name], m.Upstream.Incarnation)
	if row, _, ok := r.find(m.Upstream); ok {
		row.leaving = true
	}
}

func (r *Router) suspect(now time.Time, m Suspect) {
	row, _, ok := r.find(m.Upstream)
	if !ok {
		return
	}
	if row.suspect && !m.Suspected {
		row.returning, row.returned = true, now
	}
	row.suspect = m.Suspected
}

func (r *Router) reserved(now time.Time, m Reserved) {
	if row, _, ok := r.find(m.Upstream); ok {
		row.reservedBy, row.reserved = m.RequestID, now
	}
}

func (r *Router) limited(m ConcurrencyLimit) {
	if row, _, ok := r.find(m.Upstream); ok {
		row.limit = float64(max(m.Limit, 1))
	}
}

// cacheEvent applies an event; after a gap the view is less trusted, and blocks not in it may still be there.
func (r *Router) cacheEvent(m CacheEvent) {
	row, i, ok := r.find(m.Upstream)
	if !ok || (row.sequenced && m.Sequence <= row.sequence) {
		return
	}
	if row.sequenced && m.Sequence > row.sequence+1 {
		row.confidence = gapConfidence
	}
	row.sequence = m.Sequence
	row.sequenced = true
	if m.Cleared {
		r.prefixes.removeRow(i)
		row.confidence = 1
	}
	for _, d := range m.Removed {
		r.prefixes.remove(i, d)
	}
	for _, d := range m.Stored {
		r.prefixes.add(i, d)
	}
	row.confidence = min(row.confidence+regainPerBlock*float64(len(m.Stored)), 1)
}
