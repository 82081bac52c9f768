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
)

const (
	reportInterval = 800 * time.Millisecond
	// searchInterval is used until there is a document: this VM serves nobody before.
	searchInterval = 200 * time.Millisecond
	reportTimeout  = 1500 * time.Millisecond
	// replyTimeout is the age at which the reply of a coordinator no longer counts.
	replyTimeout = 3 * time.Second
	// listTimeout is the time without a list from a coordinator after which this VM reads it itself.
	listTimeout = 2 * time.Second
)

// reporter keeps in touch with the coordinators.
type reporter struct {
	config   Config
	client   *fleetserver.Client
	setFleet func(fleet []fleetserver.EntryVM)

	mu       sync.Mutex
	revision uint64
	heard    map[netip.AddrPort]*heard
	inTouch  bool
	// unconfirmed is set while the state in force comes from logs; version is that of the document in force.
	unconfirmed bool
	version     uint64
	// lister is the coordinator whose list is in use: two of them may differ for a moment.
	lister netip.AddrPort
	list   uint64
	listed time.Time
	apply  sync.Mutex
}

// heard is what a coordinator said.
type heard struct {
	calling bool
	// known is set once the coordinator knows this VM.
	known bool
	fleet fleetserver.Fleet
	// logged is how far the log of a restarted voter goes, or nil.
	logged *fleetserver.LogPosition
	at     time.Time
}

func newReporter(config Config, client *fleetserver.Client, setFleet func(fleet []fleetserver.EntryVM)) *reporter {
	return &reporter{config: config, client: client, setFleet: setFleet, heard: map[netip.AddrPort]*heard{}}
}

func (r *reporter) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var work sync.WaitGroup
	defer work.Wait()
	for {
		for _, address := range r.coordinators() {
			if r.begin(address) {
				work.Go(func() { r.call(ctx, address) })
			}
		}
		timer.Reset(r.interval())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		r.noteTouch()
	}
}

func (r *reporter) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision == 0 {
		return searchInterval
	}
	return reportInterval
}

// announce reports to all coordinators at once and waits for them.
func (r *reporter) announce(ctx context.Context) {
	var work sync.WaitGroup
	for _, address := range r.coordinators() {
		work.Go(func() { r.call(ctx, address) })
	}
	work.Wait()
}

// coordinators returns the addresses of the settings and those that fresh replies name.
func (r *reporter) coordinators() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.config.Coordinators())
	for _, each := range r.heard {
		if time.Since(each.at) <= replyTimeout {
			list = append(list, each.fleet.Coordinators...)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

func (r *reporter) begin(address netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	each := r.of(address)
	if each.calling {
		return false
	}
	each.calling = true
	return true
}

func (r *reporter) of(address netip.AddrPort) *heard {
	each, ok := r.heard[address]
	if !ok {
		each = &heard{}
		r.heard[address] = each
	}
	return each
}

func (r *reporter) call(ctx context.Context, address netip.AddrPort) {
	attempt, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := r.client.SendHeartbeat(attempt, address, r.message(address))
	r.mu.Lock()
	r.of(address).calling = false
	r.mu.Unlock()
	if err != nil {
		r.config.Logger.WithField("coordinator", address.String()).WithError(err).Debug("report not answered")
		return
	}
	r.take(ctx, address, reply)
}

// message returns the report for a coordinator, which describes this VM only where it is not known.
func (r *reporter) message(address netip.AddrPort) fleetserver.Heartbeat {
	report := fleetserver.Heartbeat{
		Name: r.config.Self.Name, Stopping: r.config.Answerer.Draining(), Loads: r.config.Answerer.Load(),
		Losses: r.config.Answerer.Losses(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	each := r.of(address)
	if !each.known {
		self := r.config.Self
		report.EntryVM = &self
	}
	report.FleetDigest = each.fleet.Digest
	report.UpstreamsDigest = r.list
	return report
}

func (r *reporter) take(ctx context.Context, address netip.AddrPort, reply fleetserver.HeartbeatReply) {
	r.mu.Lock()
	each := r.of(address)
	each.known = !reply.UnknownVM
	each.at = time.Now()
	if reply.Fleet != nil {
		each.fleet = *reply.Fleet
	}
	each.logged = reply.LogPosition
	fleet := r.fleet()
	newer := reply.Revision > r.revision || r.unconfirmed && reply.Revision > 0
	furthest, found := r.furthest()
	r.mu.Unlock()
	r.config.Answerer.SetBlocked(address, reply.BlockedRequests)
	if len(reply.RegionLoads) > 0 {
		r.config.Answerer.SetLoads(reply.RegionLoads)
	}
	r.setFleet(fleet)
	if reply.UpstreamList != nil {
		r.takeListing(address, *reply.UpstreamList)
	}
	switch {
	case newer:
		r.fetch(ctx, address, r.client.FetchAppliedState, true)
	case found:
		r.fetch(ctx, furthest, r.client.FetchReplayedState, false)
	}
}

// furthest returns the restarted coordinator whose log goes furthest, once this VM has nothing in force and has heard
// from a majority of the voters: their furthest log holds all that was acknowledged.
func (r *reporter) furthest() (netip.AddrPort, bool) {
	var best netip.AddrPort
	var position fleetserver.LogPosition
	heard := 0
	for address, each := range r.heard {
		if each.logged == nil || time.Since(each.at) > replyTimeout {
			continue
		}
		heard++
		if !best.IsValid() || position.Before(*each.logged) {
			best, position = address, *each.logged
		}
	}
	return best, r.revision == 0 && heard > 0 && heard > position.Voters/2
}

// takeListing uses the list of one coordinator until that one falls silent.
func (r *reporter) takeListing(address netip.AddrPort, listing fleetserver.UpstreamList) {
	r.mu.Lock()
	now := time.Now()
	if address != r.lister && now.Sub(r.listed) <= listTimeout {
		r.mu.Unlock()
		return
	}
	fresh := listing.Digest != r.list
	r.lister, r.list, r.listed = address, listing.Digest, now
	r.mu.Unlock()
	if fresh {
		r.config.Answerer.SetUpstreams(listing.Upstreams)
	}
	r.config.Answerer.MarkCold(listing.ColdRemaining)
}

// listMissing reports whether no coordinator passes the list on.
func (r *reporter) listMissing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.listed) > listTimeout
}

// fleet joins what the coordinators know; an entry VM is live if one of them heard from it.
func (r *reporter) fleet() []fleetserver.EntryVM {
	byName := map[string]fleetserver.EntryVM{}
	for _, each := range r.heard {
		if time.Since(each.at) > replyTimeout {
			continue
		}
		for _, entry := range each.fleet.EntryVMs {
			known, ok := byName[entry.Name]
			entry.Stopping = entry.Stopping || ok && known.Stopping
			byName[entry.Name] = entry
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b fleetserver.EntryVM) int { return strings.Compare(a.Name, b.Name) })
}

// fetch puts the state of a coordinator in force if it is newer than the own one; a lower one never comes back.
func (r *reporter) fetch(
	ctx context.Context, address netip.AddrPort,
	call func(context.Context, netip.AddrPort) (fleetserver.State, error), confirmed bool,
) {
	attempt, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	state, err := call(attempt, address)
	if err != nil {
		r.config.Logger.WithField("coordinator", address.String()).WithError(err).Info("state not fetched")
		return
	}
	r.apply.Lock()
	defer r.apply.Unlock()
	if state.Version == 0 || !r.mayApply(state, confirmed) {
		return
	}
	document, err := r.config.DecodeDocument(state.Text)
	if err != nil {
		r.config.Logger.WithError(err).Error("the agreed document cannot be read; the last one stays in force")
		return
	}
	r.config.Answerer.SetDocument(document, state.Evacuated)
	r.mu.Lock()
	r.revision, r.version, r.unconfirmed = state.Revision, state.Version, !confirmed
	r.mu.Unlock()
	r.config.Logger.WithField("revision", state.Revision).WithField("version", state.Version).
		WithField("evacuated", state.Evacuated).WithField("confirmed", confirmed).Info("state is in force")
}

// mayApply reports whether a state may replace the one in force. What came from logs is replaced by what a leader has
// confirmed, but not by a lower version: a change that was never acknowledged may be missing there until it is resent.
func (r *reporter) mayApply(state fleetserver.State, confirmed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !confirmed {
		return r.revision == 0
	}
	if r.unconfirmed {
		return state.Version >= r.version
	}
	return state.Revision > r.revision
}

// noteTouch logs the loss and the return of all coordinators.
func (r *reporter) noteTouch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	touch := false
	for _, each := range r.heard {
		touch = touch || time.Since(each.at) <= replyTimeout
	}
	if touch != r.inTouch {
		r.config.Logger.WithField("in-touch", touch).Info("contact with the coordinators changed")
	}
	r.inTouch = touch
}
