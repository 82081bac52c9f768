package dispatcher

import (
	"slices"
	"time"
)

const (
	// readRate is the number of prompt tokens that an engine reads in a millisecond, before any observation.
	readRate = 40.0
	// rereadCost is what one shared token that is read again counts for beside its time: it also displaces others, and a
	// region whose upstreams read beginnings again at its peak falls further behind.
	rereadCost = 8.0
	// disturbance is the part of the time of a read that each running request is held up by it.
	disturbance = 0.05
	// firstReader and secondReader are the parts of a shared beginning that the upstreams named by its hash probably
	// lack, as long as this VM has not sent it there itself.
	firstReader  = 0.15
	secondReader = 0.6
	// runningCost is the time by which one running request delays the first token of another.
	runningCost = 0.6
	// queuedCost is the time by which one request beyond the batch delays another, in milliseconds.
	queuedCost = 25.0
	// queuePart is the queue that an upstream may have, as a part of its slots.
	queuePart = 0.5
	// leastQueue is the queue that an upstream with few slots may have.
	leastQueue = 6
	// failuresToAvoid is the number of failures in a row after which an upstream is avoided.
	failuresToAvoid = 4
	avoidTime       = 2 * time.Second
	// unreachableTime is how long an upstream that accepts no connection gets no requests.
	unreachableTime = time.Second
	// tokenTime is the time of one token in a well-used batch, in milliseconds.
	tokenTime = 4.5
	// crossZone is the wait in milliseconds that is worth as much as leaving the availability zone: an eighth of the
	// objective of a chat.
	crossZone = 60.0
	// recentTime is the time constant of what counts as recent.
	recentTime = 2 * time.Second
	// longRead is the number of tokens from which reads at the same time make the pauses of running answers too long.
	longRead = 2000
	// refusedTime is how long an upstream that refused a request gets no others: it is full whatever its load seems.
	refusedTime = 300 * time.Millisecond
	// goneTime is how long an upstream whose address another life has gets none; the list says so within that time.
	goneTime = 2 * time.Second
	// partMemory is how long a prompt part counts as read after its last use.
	partMemory = 15 * time.Second
	// reportTimeout is the age at which a report no longer counts.
	reportTimeout = 3 * time.Second
	// coldShare is the part of the bound for cold upstreams that one entry VM uses: two of them may feed one upstream
	// while their views of the fleet differ.
	coldShare  = 0.45
	coldWindow = time.Second
)

// Dispatcher knows the upstreams of one region.
type Dispatcher struct {
	self      string
	zone      string
	fleet     []Member
	rows      map[string]*row
	services  map[string][]*row
	limits    map[string]Limits
	evacuated map[string]bool
	peers     map[string]peer
	// stated sums what the peers have at each upstream.
	stated map[UpstreamKey]Sent
}

// New returns a dispatcher of the named entry VM in an availability zone, without upstreams.
func New(self, zone string) *Dispatcher {
	return &Dispatcher{
		self: self, zone: zone, rows: map[string]*row{}, services: map[string][]*row{},
		limits: map[string]Limits{}, evacuated: map[string]bool{}, peers: map[string]peer{}, stated: map[UpstreamKey]Sent{},
	}
}

// SetUpstreams replaces the list of upstreams and returns those that are gone.
func (d *Dispatcher) SetUpstreams(now time.Time, list []Upstream) []Upstream {
	services := map[string][]*row{}
	present := map[string]bool{}
	for _, upstream := range list {
		present[upstream.ID] = true
		known, ok := d.rows[upstream.ID]
		if !ok {
			known = newRow(upstream)
			d.rows[upstream.ID] = known
		}
		known.list(now, upstream)
		services[upstream.Service] = append(services[upstream.Service], known)
	}
	d.services = services
	var gone []Upstream
	for id, known := range d.rows {
		if !present[id] {
			gone = append(gone, known.Upstream)
			delete(d.rows, id)
		}
	}
	return gone
}

// SetLimits replaces the limits of services.
func (d *Dispatcher) SetLimits(limits []Limits) {
	d.limits = map[string]Limits{}
	for _, each := range limits {
		d.limits[each.Service] = each
	}
}

// SetEvacuated replaces the availability zones that get no requests.
func (d *Dispatcher) SetEvacuated(zones []string) {
	d.evacuated = map[string]bool{}
	for _, zone := range zones {
		d.evacuated[zone] = true
	}
}

// SetFleet replaces the live entry VMs of the region, this one included; without them no cold upstream is used, because
// its feeder is not known.
func (d *Dispatcher) SetFleet(members []Member) {
	d.fleet = members
}

// Report takes in the load that an upstream reported.
func (d *Dispatcher) RecordLoad(now time.Time, load Load) {
	if r, ok := d.rows[load.ID]; ok {
		r.report(now, load)
	}
}

// Chill notes that an upstream stays cold for a while.
func (d *Dispatcher) MarkCold(now time.Time, id string, left time.Duration) {
	if r, ok := d.rows[id]; ok {
		r.coldUntil = later(r.coldUntil, now.Add(left))
	}
}

// Choose returns the upstream for a request and counts the request as sent there; excluded upstreams are passed over.
func (d *Dispatcher) Choose(now time.Time, request Request, excluded []string) Choice {
	all := d.services[request.Service]
	if len(all) == 0 {
		return Choice{Reason: ReasonNoUpstream}
	}
	d.forgetSilent(now)
	limits := d.limits[request.Service]
	usable := make([]*row, 0, len(all))
	for _, r := range all {
		if d.usable(now, r, limits) && !slices.Contains(excluded, r.ID) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return Choice{Reason: ReasonNoUsableUpstream}
	}
	readers := readersOf(request, usable)
	compared := usable
	if limits.Engine {
		compared = d.sample(request, usable, readers)
	}
	best, considered := d.cheapest(now, request, compared, limits, readers)
	if best == nil && len(compared) < len(usable) {
		best, considered = d.cheapest(now, request, usable, limits, readers)
	}
	if best == nil {
		return Choice{Reason: ReasonFull}
	}
	own, shared := best.uncached(now, request, readers)
	if request.MayWait && limits.Engine && own+int(shared) >= longRead && best.longReads() > 0 {
		return Choice{Reason: ReasonPrefillBusy}
	}
	choice := Choice{Upstream: best.Upstream, Outstanding: d.outstanding(now, best), Uncached: own + int(shared), Candidates: considered}
	best.send(now, request, choice.Uncached)
	return choice
}

// cheapest returns the upstream with the least cost among those that can take a request, and the number of these.
func (d *Dispatcher) cheapest(now time.Time, request Request, compared []*row, limits Limits, named readers) (*row, int) {
	var best *row
	bestCost, considered := 0.0, 0
	for _, r := range compared {
		if d.outstanding(now, r) >= r.bound() || limits.Engine && d.hopeless(now, r, request, named) {
			continue
		}
		considered++
		cost := d.cost(now, r, request, limits, named)
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best, considered
}

// usable reports whether an upstream may get a request now.
func (d *Dispatcher) usable(now time.Time, r *row, limits Limits) bool {
	switch {
	case r.Leaving, d.evacuated[r.Zone], now.Before(r.avoidUntil):
		return false
	case now.Before(r.coldUntil):
		return d.feeds(r.ID) && float64(r.sentWithin(now, coldWindow)+1) <= limits.ColdPerSecond*coldShare
	}
	return true
}

// feeds reports whether this entry VM is the one that sends to a cold upstream.
func (d *Dispatcher) feeds(id string) bool {
	return ownerOf(d.fleet, id) == d.self
}

// FirstEvent notes that an upstream has read the prompt of a request.
func (d *Dispatcher) FirstEvent(id, request string) {
	if r, ok := d.rows[id]; ok {
		r.read(request)
	}
}

// End notes that a request ended at an upstream.
func (d *Dispatcher) End(now time.Time, id, request string, result Result) {
	if r, ok := d.rows[id]; ok {
		r.end(now, request, result)
	}
}

// Usage returns the use of the usable upstreams of a service.
func (d *Dispatcher) Usage(now time.Time, service string) Usage {
	var usage Usage
	upstreams := 0
	d.forgetSilent(now)
	limits := d.limits[service]
	for _, r := range d.services[service] {
		if now.Before(r.coldUntil) || !d.usable(now, r, limits) {
			continue
		}
		usage.Outstanding += d.outstanding(now, r)
		usage.Slots += r.Slots
		if limits.Engine {
			usage.PrefillUtilisation += d.reading(now, r)
		}
		upstreams++
	}
	usage.PrefillUtilisation /= float64(max(upstreams, 1))
	return usage
}

// Services returns the services that have upstreams here.
func (d *Dispatcher) Services() []string {
	names := make([]string, 0, len(d.services))
	for name := range d.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Upstreams returns all upstreams of the region.
func (d *Dispatcher) Upstreams() []Upstream {
	list := make([]Upstream, 0, len(d.rows))
	for _, r := range d.rows {
		list = append(list, r.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
