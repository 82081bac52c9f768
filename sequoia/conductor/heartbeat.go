package conductor

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/pinner"
)

const (
	heartbeatInterval = 800 * time.Millisecond
	// bootstrapInterval is used until the first document is applied, because this VM cannot serve before that.
	bootstrapInterval = 200 * time.Millisecond
	callTimeout       = 1500 * time.Millisecond
	// replyMaxAge is the age at which the reply of a coordinator is discarded.
	replyMaxAge = 3 * time.Second
)

// heartbeater exchanges heartbeats with all coordinators and applies the state that they return.
type heartbeater struct {
	config   Config
	client   *fleetserver.Client
	setFleet func(fleet []fleetserver.EntryVM)

	mu           sync.Mutex
	revision     uint64
	coordinators map[netip.AddrPort]*coordinatorState
	connected    bool
	// confirmations holds what the coordinators confirmed about the versions of upstreams; confirmMu guards it.
	confirmMu     sync.Mutex
	confirmations *pinner.Confirmations
	// establishedText is that of the versions that may begin streams, as last logged.
	establishedText string
	// unconfirmed is set while the applied state comes from replayed logs; version is the version of the applied
	// document.
	unconfirmed bool
	version     uint64
	fetches     fetches
	list        listReading
	// fleetSources are what the fleet in use was merged from.
	fleetSources []fleetSource
	// applyMu, listMu and fleetMu order the changes of the state, of the list of upstreams and of the fleet.
	applyMu sync.Mutex
	listMu  sync.Mutex
	fleetMu sync.Mutex
}

// coordinatorState holds the last reply of a coordinator and whether a heartbeat to it is in flight.
type coordinatorState struct {
	inFlight bool
	// knowsSelf is set once the coordinator knows this VM.
	knowsSelf bool
	fleet     fleetserver.Fleet
	// logPosition is the end of the log of a restarted voter, or nil.
	logPosition *fleetserver.LogPosition
	lastReply   time.Time
	// sameRegion is set once the coordinator passed on the list of upstreams, as those of the region of this VM do.
	sameRegion bool
	told       versionsTold
	// refused is the last state of this coordinator that was not applied, which is logged once.
	refused stateMark
	// leads is set if the last reply had a lease, as those of the leader do while the document has rate limits.
	leads bool
}

func newHeartbeater(config Config, client *fleetserver.Client, setFleet func(fleet []fleetserver.EntryVM)) *heartbeater {
	return &heartbeater{
		config: config, client: client, setFleet: setFleet, coordinators: map[netip.AddrPort]*coordinatorState{},
		confirmations: pinner.NewConfirmations(),
	}
}

func (h *heartbeater) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { h.requestLeases(ctx) })
	for {
		for _, address := range h.coordinatorAddresses() {
			if h.startCall(address) {
				calls.Go(func() { h.sendHeartbeat(ctx, address) })
			}
		}
		timer.Reset(h.interval())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		h.logContactChange()
		h.updateVersions()
		h.logLeaseChange()
	}
}

func (h *heartbeater) interval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revision == 0 {
		return bootstrapInterval
	}
	return heartbeatInterval
}

// sendToAll sends a heartbeat to all coordinators in parallel and waits for the replies.
func (h *heartbeater) sendToAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range h.coordinatorAddresses() {
		calls.Go(func() { h.sendHeartbeat(ctx, address) })
	}
	calls.Wait()
}

// coordinatorAddresses returns the addresses from the settings and from recent replies.
func (h *heartbeater) coordinatorAddresses() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.Clone(h.config.Coordinators())
	for _, state := range h.coordinators {
		if time.Since(state.lastReply) <= replyMaxAge {
			list = append(list, state.fleet.Coordinators...)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

func (h *heartbeater) startCall(address netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.stateOf(address)
	if state.inFlight {
		return false
	}
	state.inFlight = true
	return true
}

func (h *heartbeater) stateOf(address netip.AddrPort) *coordinatorState {
	state, ok := h.coordinators[address]
	if !ok {
		state = &coordinatorState{}
		h.coordinators[address] = state
	}
	return state
}

func (h *heartbeater) sendHeartbeat(ctx context.Context, address netip.AddrPort) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	heartbeat := h.heartbeat(address)
	told := h.toldVersions(address)
	reply, err := h.client.SendHeartbeat(callCtx, address, heartbeat)
	h.mu.Lock()
	h.stateOf(address).inFlight = false
	h.mu.Unlock()
	if err != nil {
		h.forgetTold(address)
		h.config.Logger.WithField("coordinator", address.String()).WithError(err).Debug("heartbeat not answered")
		return
	}
	if !reply.Unconfirmed {
		h.config.Answerer.ConfirmDocument(reply.Revision, sentAt)
	}
	if !reply.UnknownVM {
		h.config.Answerer.ConfirmFleet(sentAt)
	}
	if reply.UpstreamList != nil {
		h.handleUpstreamList(*reply.UpstreamList, listQuery{askedAt: sentAt, digest: heartbeat.UpstreamsDigest})
	}
	h.recordReply(address, reply)
	h.applyLease(address, sentAt, heartbeat.Demand, reply.Lease)
	h.confirmVersions(address, versionsAsked{askedAt: sentAt, told: told}, reply)
	h.fetchNewer(ctx, address, reply)
}

// heartbeat returns the heartbeat for a coordinator. It includes the description of this VM only if the coordinator
// lacks it.
func (h *heartbeater) heartbeat(address netip.AddrPort) fleetserver.Heartbeat {
	heartbeat := fleetserver.Heartbeat{
		Name: h.config.Self.Name, Stopping: h.config.Answerer.Draining(), Loads: h.config.Answerer.Load(),
		Losses: h.config.Answerer.Losses(), Crashes: h.config.Answerer.Crashes(),
		Completions: h.config.Answerer.Completions(address), Evidence: h.config.Answerer.Evidence(address),
	}
	if h.leads(address) {
		heartbeat.Demand = h.config.Answerer.DemandReport()
	}
	versions := h.config.Answerer.Versions()
	sole := h.config.Answerer.KnowsSoleVersions(versions)
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.stateOf(address)
	if !state.knowsSelf {
		self := h.config.Self
		heartbeat.EntryVM = &self
	}
	heartbeat.FleetDigest, heartbeat.AppliesUpdates = state.fleet.Digest, true
	heartbeat.UpstreamsDigest = h.list.digest
	heartbeat.Versions = state.newVersions(time.Now(), versions)
	heartbeat.SoleVersions = heartbeat.Versions != nil && sole
	return heartbeat
}

// recordReply records what a coordinator says about itself, the fleet and the load, and which requests it blocks.
func (h *heartbeater) recordReply(address netip.AddrPort, reply fleetserver.HeartbeatReply) {
	h.mu.Lock()
	state := h.stateOf(address)
	state.knowsSelf = !reply.UnknownVM
	state.lastReply = time.Now()
	state.sameRegion = state.sameRegion || reply.UpstreamList != nil
	if reply.Fleet != nil {
		// An update of another fleet than the known one is dropped; the next heartbeat names the known one again.
		state.fleet, _ = state.fleet.Apply(*reply.Fleet)
	}
	state.logPosition = reply.LogPosition
	h.mu.Unlock()
	h.config.Answerer.SetBlocked(address, reply.BlockedRequests)
	if reply.UnknownVM {
		h.config.Answerer.CoordinatorRestarted(address)
	} else {
		h.config.Answerer.SetSuspicions(address, reply.Suspicions)
	}
	if len(reply.RegionLoads) > 0 {
		h.config.Answerer.SetLoads(reply.RegionLoads)
	}
	h.updateFleet()
}

// fetchNewer fetches the state of a coordinator if it is newer than the applied one, or that of the most advanced log.
func (h *heartbeater) fetchNewer(ctx context.Context, address netip.AddrPort, reply fleetserver.HeartbeatReply) {
	h.mu.Lock()
	newer := h.offersNewer(reply)
	mostAdvanced, found := h.mostAdvancedLog()
	h.mu.Unlock()
	switch {
	case newer:
		h.fetch(ctx, source{coordinator: address, revision: reply.Revision, confirmed: true})
	case found:
		h.fetch(ctx, source{coordinator: mostAdvanced})
	}
}

// offersNewer reports whether the state of a coordinator is worth fetching. A state from replayed logs is replaced only
// by one that a leader has confirmed: what a coordinator without a leader has applied may lack changes that the logs
// hold. The lock must be held.
func (h *heartbeater) offersNewer(reply fleetserver.HeartbeatReply) bool {
	if h.unconfirmed {
		return reply.Revision > 0 && !reply.Unconfirmed
	}
	return reply.Revision > h.revision
}

// mostAdvancedLog returns the restarted coordinator with the most advanced log. It succeeds only if this VM has no
// applied state and a majority of the voters has replied: the most advanced log of a majority contains every
// acknowledged change.
func (h *heartbeater) mostAdvancedLog() (netip.AddrPort, bool) {
	var best netip.AddrPort
	var position fleetserver.LogPosition
	replies := 0
	for address, state := range h.coordinators {
		if state.logPosition == nil || time.Since(state.lastReply) > replyMaxAge {
			continue
		}
		replies++
		if !best.IsValid() || position.Before(*state.logPosition) {
			best, position = address, *state.logPosition
		}
	}
	return best, h.revision == 0 && replies > 0 && replies > position.Voters/2
}

// fleetSource identifies the fleet of one coordinator.
type fleetSource struct {
	coordinator netip.AddrPort
	digest      uint64
}

// updateFleet passes on the merged fleet if it has changed.
func (h *heartbeater) updateFleet() {
	h.fleetMu.Lock()
	defer h.fleetMu.Unlock()
	h.mu.Lock()
	fleet, changed := h.changedFleet()
	h.mu.Unlock()
	if changed {
		h.setFleet(fleet)
	}
}

// changedFleet returns the merged fleet if a fleet that it is merged from has changed, come or expired. The lock must be
// held.
func (h *heartbeater) changedFleet() ([]fleetserver.EntryVM, bool) {
	sources := make([]fleetSource, 0, len(h.coordinators))
	for address, state := range h.coordinators {
		if time.Since(state.lastReply) <= replyMaxAge {
			sources = append(sources, fleetSource{address, state.fleet.Digest})
		}
	}
	slices.SortFunc(sources, func(a, b fleetSource) int { return a.coordinator.Compare(b.coordinator) })
	if slices.Equal(sources, h.fleetSources) {
		return nil, false
	}
	h.fleetSources = sources
	return h.mergedFleet(), true
}

// mergedFleet merges the fleets known to the coordinators. An entry VM is live if one of them received a heartbeat
// from it.
func (h *heartbeater) mergedFleet() []fleetserver.EntryVM {
	byName := map[string]fleetserver.EntryVM{}
	for _, state := range h.coordinators {
		if time.Since(state.lastReply) > replyMaxAge {
			continue
		}
		for _, vm := range state.fleet.EntryVMs {
			known, ok := byName[vm.Name]
			vm.Stopping = vm.Stopping || ok && known.Stopping
			byName[vm.Name] = vm
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b fleetserver.EntryVM) int { return strings.Compare(a.Name, b.Name) })
}

// logContactChange logs when contact with all coordinators is lost and when it is restored.
func (h *heartbeater) logContactChange() {
	h.mu.Lock()
	defer h.mu.Unlock()
	connected := false
	for _, state := range h.coordinators {
		connected = connected || time.Since(state.lastReply) <= replyMaxAge
	}
	if connected != h.connected {
		h.config.Logger.WithField("in-touch", connected).Info("contact with the coordinators changed")
	}
	h.connected = connected
}
