package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/forecaster"
	"sequoiaspread.example/sequoia/orderer"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
)

const (
	orderTickInterval = 250 * time.Millisecond
	observeInterval   = 5 * time.Second
	planInterval      = 10 * time.Second
	// reportMaxAge is several report intervals; older reports are too stale to base orders on.
	reportMaxAge = 30 * time.Second
	// takeoverDelayStep staggers the controllers' attempts to take over the lease.
	takeoverDelayStep = 400 * time.Millisecond
)

// receivedReport is the latest report of an availability zone.
type receivedReport struct {
	report     zoneReport
	receivedAt time.Time
}

// orderManager runs the orderer and the forecaster: it renews the lease, plans the desired replicas and sends orders.
type orderManager struct {
	node     *node
	observer *observer
	sender   *orderSender

	mu          sync.Mutex
	orderer     *orderer.Orderer
	forecaster  *forecaster.Forecaster
	desired     map[forecaster.Key]int
	zoneReports map[string]receivedReport
}

func newOrderManager(n *node) *orderManager {
	o := &orderManager{
		node: n, observer: newObserver(n), forecaster: forecaster.New(forecaster.Config{}),
		desired: map[forecaster.Key]int{}, zoneReports: map[string]receivedReport{},
	}
	o.sender = newOrderSender(o.step)
	return o
}

func (o *orderManager) register(table *methodTable) {
	table.register(methodZoneReport, o.handleZoneReport)
}

func (o *orderManager) run(ctx context.Context) error {
	o.startOrderer()
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { o.observeLoop(ctx) })
	workers.Go(func() { o.planLoop(ctx) })
	defer o.sender.cancelAll()
	ticker := time.NewTicker(orderTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			o.tick(ctx, &workers)
		}
	}
}

func (o *orderManager) startOrderer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orderer = orderer.New(orderer.Config{HolderID: o.newHolderID(), TakeoverDelay: o.takeoverDelay()})
}

// newHolderID returns a holder id that is unique to this run of the member, because orders of an earlier run may still
// be in flight.
func (o *orderManager) newHolderID() string {
	return o.node.MemberID() + "/" + time.Now().UTC().Format("20060102T150405.000000000")
}

func (o *orderManager) takeoverDelay() time.Duration {
	voters := o.node.consensus.Status().Membership.Voters
	position := slices.Index(voters, o.node.id)
	if position < 0 {
		position = len(voters)
	}
	return time.Duration(position) * takeoverDelayStep
}

func (o *orderManager) tick(ctx context.Context, workers *sync.WaitGroup) {
	var lease promoter.Lease
	o.node.Read(func(state *promoter.Promoter) { lease = state.Lease() })
	effects := o.step(orderer.LeaseObserved{Holder: lease.Holder, FencingToken: lease.FencingToken, Renewals: lease.Renewals})
	o.mu.Lock()
	effects = append(effects, o.orderer.Tick(time.Now())...)
	o.mu.Unlock()
	for _, effect := range effects {
		o.applyEffect(ctx, workers, effect)
	}
}

func (o *orderManager) step(message orderer.Message) []orderer.Effect {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.orderer.Step(time.Now(), message)
}

func (o *orderManager) applyEffect(ctx context.Context, workers *sync.WaitGroup, effect orderer.Effect) {
	switch e := effect.(type) {
	case orderer.Acquire:
		command := promoter.Command{AcquireLease: &promoter.AcquireLease{
			Holder: o.orderer.HolderID(), ExpectedFencingToken: e.ExpectedFencingToken, ExpectedRenewals: e.ExpectedRenewals,
		}}
		workers.Go(func() { o.proposeLease(ctx, command) })
	case orderer.Renew:
		command := promoter.Command{RenewLease: &promoter.RenewLease{Holder: o.orderer.HolderID(), FencingToken: e.FencingToken}}
		workers.Go(func() { o.proposeLease(ctx, command) })
	case orderer.Send:
		if address, ok := o.upstreamAddress(e.Target); ok {
			workers.Go(func() { o.sender.send(ctx, address, e) })
		}
	case orderer.CancelAll:
		o.sender.cancelAll()
	}
}

// proposeLease proposes a lease command. The lease counts from the time before the proposal, so that the holder never
// assumes a later expiry than the other controllers do.
func (o *orderManager) proposeLease(ctx context.Context, command promoter.Command) {
	sentAt := time.Now()
	outcome, err := o.node.Propose(ctx, command)
	if err != nil || outcome.Lease == nil {
		return
	}
	o.step(orderer.LeaseReply{Granted: outcome.Accepted(), FencingToken: outcome.Lease.FencingToken, SentAt: sentAt})
}

// observeLoop periodically reports the upstreams and the demand of this availability zone to the lease holder.
func (o *orderManager) observeLoop(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		doc := o.node.Document()
		if doc == nil || !o.node.settings.PlatformAddress.IsValid() {
			continue
		}
		report, err := o.observer.observe(ctx, doc)
		if err != nil {
			o.node.logger.WithError(err).Warn("failed to query the upstreams")
			continue
		}
		o.sendReport(ctx, report)
	}
}

func (o *orderManager) sendReport(ctx context.Context, report zoneReport) {
	var lease promoter.Lease
	o.node.Read(func(state *promoter.Promoter) { lease = state.Lease() })
	member := memberOfHolder(lease.Holder)
	if member == o.node.MemberID() {
		o.acceptReport(time.Now(), report)
		return
	}
	address, ok := o.node.AddressOf(member)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if err := o.node.pool.Client(address).Call(ctx, methodZoneReport, report, nil); err != nil {
		o.node.logger.WithError(err).Debug("zone report was not delivered to the lease holder")
	}
}

// memberOfHolder returns the member id in a holder id.
func memberOfHolder(holder string) string {
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

func (o *orderManager) acceptReport(now time.Time, report zoneReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zoneReports[report.Zone] = receivedReport{report: report, receivedAt: now}
	for model, rate := range report.Demand {
		o.forecaster.Step(now, forecaster.Demand{Key: forecaster.Key{Model: model, Zone: report.Zone}, Rate: rate})
	}
	if o.orderer == nil {
		return
	}
	for _, upstream := range report.Upstreams {
		o.observeModels(now, upstream)
	}
}

// observeModels passes the state of each model in the document to the orderer.
func (o *orderManager) observeModels(now time.Time, upstream upstreamState) {
	if upstream.State != "live" {
		o.orderer.Step(now, orderer.UpstreamRemoved{Upstream: upstream.Name, Incarnation: upstream.Incarnation})
		return
	}
	if !upstream.Reachable {
		return
	}
	for _, model := range o.node.Document().Models {
		state := orderer.ModelUnloaded
		if slices.Contains(upstream.Loaded, model.Name) {
			state = orderer.ModelLoaded
		}
		target := orderer.Target{Upstream: upstream.Name, Incarnation: upstream.Incarnation, Model: model.Name}
		o.orderer.Step(now, orderer.ModelObserved{Target: target, State: state})
	}
}

func (o *orderManager) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if doc := o.node.Document(); doc != nil {
			o.plan(time.Now(), doc)
		}
	}
}

// plan turns forecasts into desired replicas, for pools whose document entry gives the capacity of an upstream.
func (o *orderManager) plan(now time.Time, doc *parser.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, held := o.orderer.HeldLease(now); !held {
		return
	}
	upstreams := o.upstreams(now, doc)
	for _, capacity := range capacities(doc) {
		if received, ok := o.zoneReports[capacity.Zone]; !ok || now.Sub(received.receivedAt) > reportMaxAge {
			// The first forecast starts from the number of loaded upstreams, which is unknown until the zone reports.
			continue
		}
		capacity.LoadedUpstreams = countLoaded(upstreams, capacity.Key)
		o.forecaster.Step(now, capacity)
	}
	for _, effect := range o.forecaster.Tick(now) {
		if replicas, ok := effect.(forecaster.DesiredReplicas); ok {
			o.desired[replicas.Key] = replicas.Count
		}
	}
	var desired []orderer.DesiredReplicas
	for key, count := range o.desired {
		desired = append(desired, orderer.DesiredReplicas{Model: key.Model, Zone: key.Zone, Count: count})
	}
	slices.SortFunc(desired, compareDesiredReplicas)
	o.orderer.Step(now, orderer.Assign(desired, upstreams))
}

func countLoaded(upstreams []orderer.Upstream, key forecaster.Key) int {
	count := 0
	for _, upstream := range upstreams {
		if upstream.Zone == key.Zone && slices.Contains(upstream.LoadedModels, key.Model) {
			count++
		}
	}
	return count
}

func capacities(doc *parser.Document) []forecaster.Capacity {
	var list []forecaster.Capacity
	for _, pool := range doc.Pools {
		if pool.UpstreamTokensPerSecond <= 0 {
			continue
		}
		for _, zone := range pool.Zones {
			for _, name := range pool.Models {
				list = append(list, forecaster.Capacity{
					Key: forecaster.Key{Model: name, Zone: zone}, PerUpstream: pool.UpstreamTokensPerSecond,
					ColdStart: coldStart(doc, name), MinUpstreams: pool.MinimumPerZone,
				})
			}
		}
	}
	return list
}

func coldStart(doc *parser.Document, name string) time.Duration {
	for _, model := range doc.Models {
		if model.Name == name {
			return model.ColdStart.Duration
		}
	}
	return 0
}

func compareDesiredReplicas(a, b orderer.DesiredReplicas) int {
	if a.Model != b.Model {
		if a.Model < b.Model {
			return -1
		}
		return 1
	}
	if a.Zone < b.Zone {
		return -1
	}
	return 1
}

func sortedZones(reports map[string]receivedReport) []string {
	return slices.Sorted(maps.Keys(reports))
}
