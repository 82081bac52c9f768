package answerer

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"sequoiaspread.example/sequoia/allotter"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// Config holds the dependencies and settings of an Answerer.
type Config struct {
	Self        fleetserver.EntryVM
	HeaderCodec HeaderCodec
	Logger      logrus.FieldLogger
	Client      *forwarder.Client
	Metrics     *Metrics
	Budget      dispatcher.RetryBudgetConfig
	// ColdRateFactor and ColdBurst limit the requests per second to a cold upstream: the rate of its service times
	// ColdRateFactor, plus ColdBurst.
	ColdRateFactor float64
	ColdBurst      float64
	// Memory is the account of the memory of the process, which others may use as well. If it is nil, the answerer has one
	// of BufferBytes for the bodies of all requests and responses together; 0 selects a default.
	Memory      *allotter.Allotter
	BufferBytes int64
	// DrainTime is how long upstreams go on serving after the list shows that they are leaving.
	DrainTime time.Duration
}

// Answerer serves callers and other entry VMs.
type Answerer struct {
	config    Config
	startedAt time.Time
	document  atomic.Pointer[appliedDocument]
	// otherRegionVMs holds the entry VMs of other regions that are not stopping.
	otherRegionVMs atomic.Pointer[[]fleetserver.EntryVM]
	// sameRegionVMs holds the other entry VMs of the region by name.
	sameRegionVMs atomic.Pointer[map[string]fleetserver.EntryVM]
	// listReadAt is when the list of upstreams in use was last read from the platform, by this VM or by a coordinator.
	listReadAt atomic.Pointer[time.Time]
	// fleetSize is the number of live entry VMs of the whole fleet, including this one.
	fleetSize atomic.Int64
	draining  atomic.Bool
	drainPlan atomic.Pointer[drainPlan]
	// drainCtx is cancelled at the end of a graceful drain, which ends the requests still in progress.
	drainCtx    context.Context
	cancelDrain context.CancelFunc
	// answeredLog limits the log entries of answered requests; other requests are always logged.
	answeredLog *rate.Limiter
	// homeRouteLog and doubtfulLog limit the log entries that are written although answeredLog is used up.
	homeRouteLog, doubtfulLog *rate.Limiter
	// active is the number of requests in progress, lastArrival the arrival of the latest one in Unix nanoseconds.
	active      atomic.Int64
	lastArrival atomic.Int64

	mu         sync.Mutex
	dispatcher *dispatcher.Dispatcher
	// fleetConfirmedAt is when the latest heartbeat was sent that a coordinator replied to.
	fleetConfirmedAt time.Time
	retryBudgets     map[string]*dispatcher.RetryBudget
	// spillovers decides for each service which requests spill over to another region.
	spillovers   map[string]*dispatcher.Spillover
	crashes      *crashTracker
	parts        *partTracker
	reachability *reachability
	regionLoads  *regionLoads
	pins         *streamPins
	memory       *allotter.Allotter
	quota        *quota
	// upstreamFreed is closed and replaced when a prefill or a request ends at an upstream.
	upstreamFreed chan struct{}
}

// defaultBufferBytes is the memory for bodies if the settings set none.
const defaultBufferBytes = 128 << 20

// New returns an answerer that refuses all requests until it has a document.
func New(config Config) *Answerer {
	if config.BufferBytes <= 0 {
		config.BufferBytes = defaultBufferBytes
	}
	if config.Memory == nil {
		config.Memory = allotter.New(allotter.Config{Bytes: config.BufferBytes})
	}
	a := &Answerer{
		config: config, startedAt: time.Now(), dispatcher: dispatcher.New(config.Self.Name, config.Self.Zone),
		retryBudgets: map[string]*dispatcher.RetryBudget{}, spillovers: map[string]*dispatcher.Spillover{},
		crashes: newCrashTracker(), parts: newPartTracker(), reachability: newReachability(),
		regionLoads: newRegionLoads(), pins: newStreamPins(time.Now()), memory: config.Memory, quota: newQuota(time.Now(), config.Metrics),
		answeredLog: newLineLimiter(), homeRouteLog: newLineLimiter(), doubtfulLog: newLineLimiter(),
		upstreamFreed: make(chan struct{}),
	}
	a.dispatcher.SetDrainTime(config.DrainTime)
	a.dispatcher.AwaitPeers()
	a.drainCtx, a.cancelDrain = context.WithCancel(context.Background())
	a.otherRegionVMs.Store(&[]fleetserver.EntryVM{})
	a.sameRegionVMs.Store(&map[string]fleetserver.EntryVM{})
	a.fleetSize.Store(1)
	return a
}

// SetDocument applies a document without a revision and the set of evacuated availability zones.
func (a *Answerer) SetDocument(document *director.Document, evacuated []string) {
	a.SetState(State{Document: document, Evacuated: evacuated, Confirmed: true, ConfirmedAt: time.Now()})
}

// SetState applies the document and the evacuated availability zones of a state.
func (a *Answerer) SetState(state State) {
	document := state.Document
	table := director.NewTable(document)
	limits := make([]dispatcher.Limits, 0, len(document.Services))
	for _, service := range document.Services {
		limits = append(limits, dispatcher.Limits{
			Service: service.Name, Engine: service.Engine != nil,
			ColdPerSecond: service.ColdRate*a.config.ColdRateFactor + a.config.ColdBurst,
			ColdTime:      service.ColdTime, NeverCold: service.ColdTime <= 0,
		})
	}
	a.mu.Lock()
	a.dispatcher.SetLimits(limits)
	a.dispatcher.SetEvacuated(time.Now(), state.Evacuated)
	a.mu.Unlock()
	a.quota.setLimits(time.Now(), table)
	applied := &appliedDocument{table: table, revision: state.Revision, confirmed: state.Confirmed}
	applied.confirmedAt.Store(&state.ConfirmedAt)
	a.document.Store(applied)
}

// Table returns the current route table, or nil before the first document.
func (a *Answerer) Table() *director.Table {
	if document := a.document.Load(); document != nil {
		return document.table
	}
	return nil
}

// SetLoads replaces the loads of the regions that a coordinator knows.
func (a *Answerer) SetLoads(loads map[string]fleetserver.Loads) {
	a.regionLoads.set(time.Now(), loads)
}

// LocalLoad returns the load that this VM has at each upstream.
func (a *Answerer) LocalLoad() map[dispatcher.UpstreamKey]dispatcher.Sent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.LocalLoad(time.Now())
}

// UpdatePeer replaces a part of the load that another entry VM of the region has at the upstreams.
func (a *Answerer) UpdatePeer(name string, part dispatcher.LoadPart, sent map[dispatcher.UpstreamKey]dispatcher.Sent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.UpdatePeerPart(time.Now(), name, part, sent)
}

// HasStalePeer reports whether gossip from a live entry VM of the region is overdue.
func (a *Answerer) HasStalePeer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.HasStalePeer(time.Now())
}

// MarkCold records how much longer upstreams stay cold, by upstream ID.
func (a *Answerer) MarkCold(cold map[string]time.Duration) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, remaining := range cold {
		a.dispatcher.MarkCold(now, id, remaining)
	}
}

// MarkLeavingSince records for how long upstreams had been listed as leaving at most at a time, by upstream ID.
func (a *Answerer) MarkLeavingSince(at time.Time, ages map[string]time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, age := range ages {
		a.dispatcher.MarkLeavingSince(at, id, age)
	}
}

// SetUpstreams replaces the upstreams of this region and closes the idle connections to removed ones.
func (a *Answerer) SetUpstreams(list []dispatcher.Upstream) {
	a.mu.Lock()
	removed := a.dispatcher.SetUpstreams(time.Now(), list)
	a.mu.Unlock()
	a.SeeVersions(a.Versions())
	for _, upstream := range removed {
		a.config.Client.CloseIdle(upstream.Address)
	}
}

// ConfirmUpstreams records when the list of upstreams in use was last read from the platform.
func (a *Answerer) ConfirmUpstreams(readAt time.Time) {
	a.listReadAt.Store(&readAt)
	a.SeeVersions(a.Versions())
}

// Upstreams returns the upstreams of this region.
func (a *Answerer) Upstreams() []dispatcher.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.Upstreams()
}

// PollableUpstreams returns the upstreams of this region whose load may be read.
func (a *Answerer) PollableUpstreams() []dispatcher.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.PollableUpstreams(time.Now())
}

// SuspectedUpstreams returns the upstreams of this region that may have restarted and have not answered since.
func (a *Answerer) SuspectedUpstreams() []dispatcher.Upstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.SuspectedUpstreams(time.Now())
}

// RecordLoad applies a load report of an upstream.
func (a *Answerer) RecordLoad(load dispatcher.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.RecordLoad(time.Now(), load)
}

// Load returns the pressure of each service on the upstreams of this region.
func (a *Answerer) Load() fleetserver.Loads {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := fleetserver.Loads{}
	for _, service := range a.dispatcher.Services() {
		pressure := a.dispatcher.Usage(now, service).Pressure()
		loads[service] = fleetserver.Load{Pressure: int(math.Round(pressure * fleetserver.PressureScale))}
	}
	return loads
}

// choose returns a choice, and a channel that is closed when another choice may be possible. An upstream to avoid is chosen
// if there is no other.
func (a *Answerer) choose(request dispatcher.Request, excluded, avoided []string) (dispatcher.Choice, <-chan struct{}) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	choice := a.dispatcher.Choose(now, request, slices.Concat(excluded, avoided))
	if len(avoided) > 0 && choice.Reason != dispatcher.ReasonNone && choice.Reason != dispatcher.ReasonPrefillBusy {
		choice = a.dispatcher.Choose(now, request, excluded)
	}
	return choice, a.upstreamFreed
}

func (a *Answerer) firstEvent(upstream, request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.FirstEvent(upstream, request)
	a.notifyWaiters()
}

func (a *Answerer) end(upstream, request string, result dispatcher.Result) {
	a.mu.Lock()
	suspected := a.dispatcher.End(time.Now(), upstream, request, result)
	a.notifyWaiters()
	a.mu.Unlock()
	if suspected {
		a.logSuspicion(upstream, fromConnection)
	}
}

// notifyWaiters wakes the requests that wait for a choice. The lock must be held.
func (a *Answerer) notifyWaiters() {
	close(a.upstreamFreed)
	a.upstreamFreed = make(chan struct{})
}

// Ready reports whether callers should use this VM.
func (a *Answerer) Ready() bool {
	return a.document.Load() != nil && !a.draining.Load()
}

// CallerHandler returns the handler for callers.
func (a *Answerer) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer resetIfAborted(w, r)
		a.serve(w, r, fromCaller)
	})
}

// PeerHandler returns the handler for requests that other entry VMs forward.
func (a *Answerer) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerOwner) != "" {
			a.serve(w, r, fromSameRegion)
			return
		}
		a.serve(w, r, fromOtherRegion)
	})
}
