package dispatcher

import (
	"slices"
	"time"
)

const (
	// prefillRate is the assumed number of prompt tokens that an engine prefills per millisecond.
	prefillRate = 40.0
	// cacheMissPenalty multiplies the cost of each shared token that has to be recomputed. Beyond its prefill time, a
	// recomputed prefix evicts others from the cache, and a region that recomputes prefixes at its peak falls further
	// behind.
	cacheMissPenalty = 8.0
	// prefillInterference is the share of a prefill's duration by which it delays each running request.
	prefillInterference = 0.05
	// firstMissRatio and secondMissRatio are the shares of a shared prefix that the first and second upstream of its
	// rendezvous hash are expected to lack while this VM has not sent the prefix there itself.
	firstMissRatio  = 0.15
	secondMissRatio = 0.6
	// runningDelay is the delay in milliseconds that each running request adds to the first token of another.
	runningDelay = 0.6
	// queuedDelay is the delay in milliseconds that each request beyond the batch adds to another.
	queuedDelay = 25.0
	// queueRatio is the queue limit of an upstream as a ratio of its slots.
	queueRatio = 0.5
	// minQueue is the queue limit of an upstream with few slots.
	minQueue = 6
	// maxConsecutiveFailures is the number of consecutive failures after which an upstream is ejected.
	maxConsecutiveFailures = 4
	ejectionTime           = 2 * time.Second
	// unreachableEjectionTime is how long an upstream that accepted no connection gets no requests.
	unreachableEjectionTime = time.Second
	// decodeTimePerToken is the time to decode one token in a well-filled batch, in milliseconds.
	decodeTimePerToken = 4.5
	// crossZonePenalty is the wait in milliseconds that weighs as much as leaving the availability zone: an eighth of
	// the objective of a chat.
	crossZonePenalty = 60.0
	// recentTimeConstant is the time constant of decaying sums.
	recentTimeConstant = 2 * time.Second
	// longPrefillTokens is the prompt size from which concurrent prefills make the pauses between the tokens of running
	// answers too long.
	longPrefillTokens = 2000
	// refusedEjectionTime is how long an upstream that refused a request gets no others: it is full even if its
	// reported load looks low.
	refusedEjectionTime = 300 * time.Millisecond
	// replacedEjectionTime is how long an upstream gets no requests after another incarnation responded at its address;
	// the upstream list is up to date by then.
	replacedEjectionTime = 2 * time.Second
	// cachedPartTTL is how long a prompt part counts as cached after its last use.
	cachedPartTTL = 15 * time.Second
	// reportTimeout is the age at which a load report is ignored.
	reportTimeout = 3 * time.Second
)

// Dispatcher holds the state of the upstreams of one region.
type Dispatcher struct {
	self  string
	zone  string
	fleet []Member
	// pastFleets holds the fleets of the latest hand-over time.
	pastFleets []pastFleet
	// fleetExpires is when the fleet no longer shows which VM sends to an upstream with a rate limit; zero for never.
	fleetExpires time.Time
	upstreams    map[string]*upstreamState
	// unlisted holds the upstreams that the list left out lately, by ID.
	unlisted  map[string]unlistedUpstream
	services  map[string][]*upstreamState
	limits    map[string]Limits
	evacuated map[string]bool
	peers     map[string]peer
	// peerTotals sums the load that the peers have at each upstream.
	peerTotals map[UpstreamKey]Sent
	// drainTime is how long upstreams go on serving after the list shows that they are leaving.
	drainTime time.Duration
	// leaving holds the notices of upstreams that stated that they are leaving, by ID.
	leaving map[string]*leavingNotice
	// newcomer is set until this VM has heard from another one after its start; firstListAt is when it got its first list.
	newcomer    bool
	firstListAt time.Time
	// established holds the versions that may begin streams; nil means all.
	established EstablishedVersions
	// busySenders holds until when other entry VMs get no requests as senders.
	busySenders map[string]time.Time
}

// New returns a dispatcher without upstreams for the named entry VM in an availability zone.
func New(self, zone string) *Dispatcher {
	return &Dispatcher{
		self: self, zone: zone, upstreams: map[string]*upstreamState{}, unlisted: map[string]unlistedUpstream{}, services: map[string][]*upstreamState{},
		limits: map[string]Limits{}, evacuated: map[string]bool{}, peers: map[string]peer{}, peerTotals: map[UpstreamKey]Sent{},
		leaving: map[string]*leavingNotice{}, busySenders: map[string]time.Time{},
	}
}

// SetUpstreams replaces the list of upstreams and returns the removed ones.
func (d *Dispatcher) SetUpstreams(now time.Time, list []Upstream) []Upstream {
	d.recordFirstList(now)
	services := map[string][]*upstreamState{}
	present := map[string]bool{}
	for _, upstream := range list {
		present[upstream.ID] = true
		known := d.listed(upstream)
		known.updateListing(now, upstream)
		services[upstream.Service] = append(services[upstream.Service], known)
	}
	d.services = services
	var removed []Upstream
	for id, known := range d.upstreams {
		if !present[id] {
			removed = append(removed, known.Upstream)
			d.unlist(now, known)
		}
	}
	d.forgetUnlisted(now)
	d.compareLeaving(now)
	return removed
}

// SetLimits replaces the limits of services.
func (d *Dispatcher) SetLimits(limits []Limits) {
	d.limits = map[string]Limits{}
	for _, each := range limits {
		d.limits[each.Service] = each
	}
}

// SetEvacuated replaces the set of availability zones that get no requests. The upstreams of a zone that gets requests
// again may be cold.
func (d *Dispatcher) SetEvacuated(now time.Time, zones []string) {
	evacuated := map[string]bool{}
	for _, zone := range zones {
		evacuated[zone] = true
	}
	for _, u := range d.upstreams {
		if d.evacuated[u.Zone] && !evacuated[u.Zone] {
			d.suspectAfterEvacuation(now, u)
		}
	}
	d.evacuated = evacuated
}

// SetFleetExpiry sets the time from which this VM sends to no upstream with a rate limit, unless it is set again: others
// have removed this VM from their fleet by then, and one of them sends instead.
func (d *Dispatcher) SetFleetExpiry(at time.Time) {
	d.fleetExpires = at
}

// RecordLoad applies a load report of an upstream.
func (d *Dispatcher) RecordLoad(now time.Time, load Load) {
	if u, ok := d.upstreams[load.ID]; ok {
		u.recordLoad(now, load)
		d.RecordContact(now, load.ID, load.Contact)
	}
}

// MarkCold records that an upstream stays cold for the remaining time.
func (d *Dispatcher) MarkCold(now time.Time, id string, remaining time.Duration) {
	if u, ok := d.find(id); ok {
		u.coldUntil = latest(u.coldUntil, now.Add(remaining))
	}
}

// Choose selects an upstream for a request, skipping the excluded ones, and counts the request as sent to it.
func (d *Dispatcher) Choose(now time.Time, request Request, excluded []string) Choice {
	all := d.upstreamsFor(now, request)
	switch {
	case len(d.services[request.Service]) == 0:
		return Choice{Reason: ReasonNoUpstream}
	case len(all) == 0 && request.Pin.Set:
		return Choice{Reason: ReasonNoVersion}
	case len(all) == 0:
		return Choice{Reason: ReasonNewVersion, AvailableIn: d.establishedIn(now, request.Service)}
	}
	d.dropStalePeers(now)
	limits := d.limits[request.Service]
	usable := d.usableFor(now, request, all, excluded)
	if len(usable) == 0 {
		return Choice{Reason: ReasonNoUsableUpstream, AvailableIn: d.availableIn(now, request)}
	}
	preferred := affinityOf(request, usable)
	sampled := usable
	if limits.Engine {
		sampled = d.sample(request, usable, preferred)
	}
	best, candidates := d.cheapest(now, request, sampled, limits, preferred)
	if best == nil && len(sampled) < len(usable) {
		best, candidates = d.cheapest(now, request, usable, limits, preferred)
	}
	if best == nil {
		return Choice{Reason: ReasonFull}
	}
	ownTokens, sharedTokens := best.uncached(now, request, preferred)
	if request.MayWait && limits.Engine && ownTokens+int(sharedTokens) >= longPrefillTokens && best.longPrefills() > 0 {
		return Choice{Reason: ReasonPrefillBusy}
	}
	choice := Choice{Upstream: best.Upstream, Outstanding: d.outstanding(now, best), Uncached: ownTokens + int(sharedTokens), Candidates: candidates}
	_, choice.Limited = d.rate(now, best, limits)
	best.recordSend(now, request, choice.Uncached)
	return choice
}

// cheapest returns the upstream with the lowest cost among those that can take the request, and the number of such
// candidates.
func (d *Dispatcher) cheapest(now time.Time, request Request, upstreams []*upstreamState, limits Limits, preferred affinity) (*upstreamState, int) {
	var best *upstreamState
	bestCost, candidates := 0.0, 0
	for _, u := range upstreams {
		if d.outstanding(now, u) >= u.capacity() || limits.Engine && d.missesDeadline(now, u, request, preferred) {
			continue
		}
		candidates++
		cost := d.cost(now, u, request, limits, preferred)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best, candidates
}

// available reports whether an upstream may get requests now, apart from its rate limit.
func (d *Dispatcher) available(now time.Time, u *upstreamState) bool {
	return !d.isLeaving(now, u) && d.reachable(now, u)
}

// reachable reports whether nothing but its leaving or a rate limit keeps an upstream from getting requests now.
func (d *Dispatcher) reachable(now time.Time, u *upstreamState) bool {
	return !d.evacuated[u.Zone] && !now.Before(u.ejectedUntil) && !now.Before(u.waitUntil)
}

// usable reports whether an upstream may get a request from this VM now.
func (d *Dispatcher) usable(now time.Time, u *upstreamState, limits Limits) bool {
	return d.available(now, u) && d.withinLimit(now, u, limits)
}

// withinLimit reports whether the rate limit of an upstream, if it has one, allows this VM a request now.
func (d *Dispatcher) withinLimit(now time.Time, u *upstreamState, limits Limits) bool {
	rate, limited := d.rate(now, u, limits)
	return !limited || d.mayShareRate(now, u, rate)
}

// FirstEvent records that an upstream has finished the prefill of a request.
func (d *Dispatcher) FirstEvent(id, request string) {
	if u, ok := d.find(id); ok {
		u.finishPrefill(request)
	}
}

// End records the completion of a request at an upstream. It reports whether that is the first sign that the upstream may
// have restarted.
func (d *Dispatcher) End(now time.Time, id, request string, result Result) bool {
	u, ok := d.find(id)
	if !ok {
		return false
	}
	u.recordEnd(now, request, result)
	return result == ResultUnreachable && d.suspectUnreachable(now, u)
}

// Usage returns the aggregated load of the usable upstreams of a service.
func (d *Dispatcher) Usage(now time.Time, service string) Usage {
	var usage Usage
	upstreams := 0
	d.dropStalePeers(now)
	limits := d.limits[service]
	for _, u := range d.services[service] {
		if !d.available(now, u) {
			continue
		}
		if _, limited := d.rate(now, u, limits); limited {
			usage.Limited = true
			continue
		}
		usage.Outstanding += d.outstanding(now, u)
		usage.Slots += u.Slots
		if limits.Engine {
			usage.PrefillUtilisation += d.prefillUtilisation(now, u)
		}
		upstreams++
	}
	usage.PrefillUtilisation /= float64(max(upstreams, 1))
	return usage
}

// Services returns the sorted names of the services that have upstreams in this region.
func (d *Dispatcher) Services() []string {
	names := make([]string, 0, len(d.services))
	for name := range d.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Upstreams returns all upstreams of the region, sorted by ID.
func (d *Dispatcher) Upstreams() []Upstream {
	list := make([]Upstream, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		list = append(list, u.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
