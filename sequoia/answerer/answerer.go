package answerer

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// answeredLines is the number of log lines per second for requests that were answered.
const answeredLines = 100

// Config holds the parts of an Answerer.
type Config struct {
	Self        fleetserver.EntryVM
	HeaderCodec HeaderCodec
	Logger      logrus.FieldLogger
	Client      *forwarder.Client
	Metrics     *Metrics
	Budget      dispatcher.RetryBudgetConfig
	// ColdOvershoot and ColdSlack bound the requests to a cold upstream: rate times overshoot plus slack.
	ColdRateFactor float64
	ColdBurst      float64
}

// Answerer serves callers and other entry VMs.
type Answerer struct {
	config Config
	table  atomic.Pointer[director.Table]
	// regions are the usable entry VMs of other regions.
	regions atomic.Pointer[[]fleetserver.EntryVM]
	// neighbours are the other entry VMs of the region by name.
	neighbours atomic.Pointer[map[string]fleetserver.EntryVM]
	// loads are the loads of all regions, by region and service.
	loads atomic.Pointer[map[string]fleetserver.Loads]
	// peers is the number of live entry VMs of the whole fleet, this one included.
	peers    atomic.Int64
	stopping atomic.Bool
	stopPlan atomic.Pointer[stopPlan]
	// ending ends when a planned stop gives up what is still in progress.
	ending context.Context
	endNow context.CancelFunc
	// lines bounds the log lines of answered requests; those of others are always written.
	lines *rate.Limiter
	// active is the number of requests in progress, last the arrival of the last one in Unix nanoseconds.
	active atomic.Int64
	last   atomic.Int64

	mu         sync.Mutex
	dispatcher *dispatcher.Dispatcher
	budgets    map[string]*dispatcher.RetryBudget
	// crossers decide for each service which requests cross to another region.
	crossers map[string]*dispatcher.Spillover
	suspects *suspects
	reach    *reach
	// changed is closed at the next end of a read or of a request at an upstream.
	changed chan struct{}
}

// New returns an answerer that refuses everything until it has a document.
func New(config Config) *Answerer {
	a := &Answerer{config: config, dispatcher: dispatcher.New(config.Self.Name, config.Self.Zone), budgets: map[string]*dispatcher.RetryBudget{}, crossers: map[string]*dispatcher.Spillover{}, suspects: newSuspects(), reach: newReach(), changed: make(chan struct{})}
	a.ending, a.endNow = context.WithCancel(context.Background())
	a.lines = rate.NewLimiter(answeredLines, answeredLines)
	a.regions.Store(&[]fleetserver.EntryVM{})
	a.neighbours.Store(&map[string]fleetserver.EntryVM{})
	a.loads.Store(&map[string]fleetserver.Loads{})
	a.peers.Store(1)
	return a
}

// SetDocument puts a document and evacuations in force.
func (a *Answerer) SetDocument(document *director.Document, evacuated []string) {
	table := director.NewTable(document)
	limits := make([]dispatcher.Limits, 0, len(document.Services))
	for _, service := range document.Services {
		limits = append(limits, dispatcher.Limits{
			Service: service.Name, Engine: service.Engine != nil,
			ColdPerSecond: service.ColdRate*a.config.ColdRateFactor + a.config.ColdBurst,
		})
	}
	a.mu.Lock()
	a.dispatcher.SetLimits(limits)
	a.dispatcher.SetEvacuated(evacuated)
	a.mu.Unlock()
	a.table.Store(table)
}

// Table returns the routes in force, or nil before the first document.
func (a *Answerer) Table() *director.Table {
	return a.table.Load()
}

// SetFleet takes over the live entry VMs of all regions.
func (a *Answerer) SetFleet(fleet []fleetserver.EntryVM) {
	var members []dispatcher.Member
	var others []fleetserver.EntryVM
	neighbours := map[string]fleetserver.EntryVM{}
	for _, entry := range fleet {
		if entry.Region != a.config.Self.Region {
			if !entry.Stopping {
				others = append(others, entry)
			}
			continue
		}
		members = append(members, dispatcher.Member{Name: entry.Name, Zone: entry.Zone})
		if entry.Name != a.config.Self.Name {
			neighbours[entry.Name] = entry
		}
	}
	a.regions.Store(&others)
	a.neighbours.Store(&neighbours)
	a.peers.Store(int64(max(1, len(fleet))))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.SetFleet(members)
}

// SetLoads takes over the loads of all regions.
func (a *Answerer) SetLoads(loads map[string]fleetserver.Loads) {
	a.loads.Store(&loads)
}

// Own returns what this VM has at the upstreams.
func (a *Answerer) LocalLoad() map[dispatcher.UpstreamKey]dispatcher.Sent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.LocalLoad(time.Now())
}

// Hear takes in what another entry VM of the region has at the upstreams.
func (a *Answerer) UpdatePeer(name string, sent map[dispatcher.UpstreamKey]dispatcher.Sent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.UpdatePeer(time.Now(), name, sent)
}

// PeersSilent reports whether a live entry VM of the region was not heard lately.
func (a *Answerer) HasStalePeer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.HasStalePeer(time.Now())
}

// Chill notes how much longer upstreams stay cold.
func (a *Answerer) MarkCold(cold map[string]time.Duration) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, left := range cold {
		a.dispatcher.MarkCold(now, id, left)
	}
}

// SetUpstreams takes over the list of upstreams of this region.
func (a *Answerer) SetUpstreams(list []dispatcher.Upstream) {
	a.mu.Lock()
	gone := a.dispatcher.SetUpstreams(time.Now(), list)
	a.mu.Unlock()
	for _, upstream := range gone {
		a.config.Client.CloseIdle(upstream.Address)
	}
}

// Upstreams returns the upstreams of this region.
func (a *Answerer) Upstreams() []dispatcher.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.Upstreams()
}

// Report takes in the load that an upstream reported.
func (a *Answerer) RecordLoad(load dispatcher.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.RecordLoad(time.Now(), load)
}

// Load returns the use of the upstreams of this region, by service.
func (a *Answerer) Load() fleetserver.Loads {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := fleetserver.Loads{}
	for _, service := range a.dispatcher.Services() {
		pressure := a.dispatcher.Usage(now, service).Pressure()
		loads[service] = fleetserver.Load{Pressure: int(math.Round(pressure * hundredths))}
	}
	return loads
}

// choose returns a choice, and a channel that is closed when another one may be possible.
func (a *Answerer) choose(request dispatcher.Request, excluded []string) (dispatcher.Choice, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.Choose(time.Now(), request, excluded), a.changed
}

// owner returns the neighbour that sends the long reads for the beginning of a request, if this VM does not.
func (a *Answerer) owner(request dispatcher.Request) (fleetserver.EntryVM, bool) {
	a.mu.Lock()
	name, ok := a.dispatcher.Owner(time.Now(), request)
	a.mu.Unlock()
	if !ok {
		return fleetserver.EntryVM{}, false
	}
	entry, known := (*a.neighbours.Load())[name]
	if !known || entry.Stopping || len(a.reach.usable(time.Now(), entry.Region, []fleetserver.EntryVM{entry})) == 0 {
		return fleetserver.EntryVM{}, false
	}
	return entry, true
}

func (a *Answerer) firstEvent(upstream, request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.FirstEvent(upstream, request)
	a.announce()
}

func (a *Answerer) end(upstream, request string, result dispatcher.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.End(time.Now(), upstream, request, result)
	a.announce()
}

// announce wakes those who wait for a choice; the caller holds the lock.
func (a *Answerer) announce() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Ready reports whether callers should use this VM.
func (a *Answerer) Ready() bool {
	return a.table.Load() != nil && !a.stopping.Load()
}

// Callers returns the handler for callers.
func (a *Answerer) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, fromCaller) })
}

// Peers returns the handler for requests that other entry VMs forward.
func (a *Answerer) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerOwner) != "" {
			a.serve(w, r, fromNeighbour)
			return
		}
		a.serve(w, r, fromRegion)
	})
}

// Peered is the number of live entry VMs of the whole fleet, this one included.
func (a *Answerer) FleetSize() int {
	return int(a.peers.Load())
}
