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
	orderTick       = 250 * time.Millisecond
	observeInterval = 5 * time.Second
	planInterval    = 10 * time.Second
	// reportMaxAge is several report intervals; older reports say too little to order by.
	reportMaxAge = 30 * time.Second
	// takeoverStep spreads the controllers' attempts to take the lease over.
	takeoverStep = 400 * time.Millisecond
)

// receivedReport is the last report of an availability zone.
type receivedReport struct {
	report zoneReport
	at     time.Time
}

// orders runs the orderer and the forecaster: it keeps the lease, makes plans and sends orders.
type orders struct {
	node     *node
	observer *observer
	sender   *orderSender

	mu       sync.Mutex
	orderer  *orderer.Orderer
	forecast *forecaster.Forecaster
	needs    map[forecaster.Key]int
	reports  map[string]receivedReport
}

func newOrders(n *node) *orders {
	o := &orders{
		node: n, observer: newObserver(n), forecast: forecaster.New(forecaster.Config{}),
		needs: map[forecaster.Key]int{}, reports: map[string]receivedReport{},
	}
	o.sender = newOrderSender(o.step)
	return o
}

func (o *orders) register(methods *methods) {
	methods.register(methodZoneReport, o.answerZoneReport)
}

func (o *orders) run(ctx context.Context) error {
	o.start()
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { o.observeLoop(ctx) })
	background.Go(func() { o.planLoop(ctx) })
	defer o.sender.cancelAll()
	ticker := time.NewTicker(orderTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			o.tick(ctx, &background)
		}
	}
}

func (o *orders) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orderer = orderer.New(orderer.Config{HolderID: o.holderName(), TakeoverDelay: o.takeoverDelay()})
}

// holderName differs between runs of the same member: the orders of an earlier run may still be on their way.
func (o *orders) holderName() string {
	return o.node.MemberID() + "/" + time.Now().UTC().Format("20060102T150405.000000000")
}

func (o *orders) takeoverDelay() time.Duration {
	voters := o.node.agreement.Status().Membership.Voters
	position := slices.Index(voters, o.node.id)
	if position < 0 {
		position = len(voters)
	}
	return time.Duration(position) * takeoverStep
}

func (o *orders) tick(ctx context.Context, background *sync.WaitGroup) {
	var lease promoter.Lease
	o.node.Read(func(state *promoter.Promoter) { lease = state.Lease() })
	effects := o.step(orderer.LeaseObserved{Holder: lease.Holder, FencingToken: lease.FencingToken, Renewals: lease.Renewals})
	o.mu.Lock()
	effects = append(effects, o.orderer.Tick(time.Now())...)
	o.mu.Unlock()
	for _, effect := range effects {
		o.perform(ctx, background, effect)
	}
}

func (o *orders) step(message orderer.Message) []orderer.Effect {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.orderer.Step(time.Now(), message)
}

func (o *orders) perform(ctx context.Context, background *sync.WaitGroup, effect orderer.Effect) {
	switch e := effect.(type) {
	case orderer.Acquire:
		command := promoter.Command{AcquireLease: &promoter.AcquireLease{
			Holder: o.orderer.HolderID(), ExpectedFencingToken: e.ExpectedFencingToken, ExpectedRenewals: e.ExpectedRenewals,
		}}
		background.Go(func() { o.proposeLease(ctx, command) })
	case orderer.Renew:
		command := promoter.Command{RenewLease: &promoter.RenewLease{Holder: o.orderer.HolderID(), FencingToken: e.FencingToken}}
		background.Go(func() { o.proposeLease(ctx, command) })
	case orderer.Send:
		if address, ok := o.addressOf(e.Target); ok {
			background.Go(func() { o.sender.send(ctx, address, e) })
		}
	case orderer.CancelAll:
		o.sender.cancelAll()
	}
}

// proposeLease reports the time before the proposal as the start of the lease, which is the safe side.
func (o *orders) proposeLease(ctx context.Context, command promoter.Command) {
	sentAt := time.Now()
	outcome, err := o.node.Propose(ctx, command)
	if err != nil || outcome.Lease == nil {
		return
	}
	o.step(orderer.LeaseReply{Granted: outcome.Accepted(), FencingToken: outcome.Lease.FencingToken, SentAt: sentAt})
}

// observeLoop tells the ordering controller what this availability zone has.
func (o *orders) observeLoop(ctx context.Context) {
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
			o.node.logger.WithError(err).Warn("upstreams could not be observed")
			continue
		}
		o.sendReport(ctx, report)
	}
}

func (o *orders) sendReport(ctx context.Context, report zoneReport) {
	var lease promoter.Lease
	o.node.Read(func(state *promoter.Promoter) { lease = state.Lease() })
	member := memberOfHolder(lease.Holder)
	if member == o.node.MemberID() {
		o.takeReport(time.Now(), report)
		return
	}
	address, ok := o.node.AddressOf(member)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if err := o.node.pool.Client(address).Call(ctx, methodZoneReport, report, nil); err != nil {
		o.node.logger.WithError(err).Debug("the ordering controller did not take the report")
	}
}

// memberOfHolder returns the member id in a holder name.
func memberOfHolder(holder string) string {
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

func (o *orders) takeReport(now time.Time, report zoneReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports[report.Zone] = receivedReport{report: report, at: now}
	for model, rate := range report.Demand {
		o.forecast.Step(now, forecaster.Demand{Key: forecaster.Key{Model: model, Zone: report.Zone}, Rate: rate})
	}
	if o.orderer == nil {
		return
	}
	for _, upstream := range report.Upstreams {
		o.observeModels(now, upstream)
	}
}

// observeModels tells the orderer the state of each model that a plan may name.
func (o *orders) observeModels(now time.Time, upstream upstreamState) {
	if upstream.State != "live" {
		o.orderer.Step(now, orderer.UpstreamRemoved{Upstream: upstream.Name, Incarnation: upstream.Incarnation})
		return
	}
	if !upstream.Reached {
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

func (o *orders) planLoop(ctx context.Context) {
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

// plan turns forecasts into wanted states, for pools that state what an upstream can do.
func (o *orders) plan(now time.Time, doc *parser.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, holding := o.orderer.HeldLease(now); !holding {
		return
	}
	upstreams := o.upstreams(now, doc)
	for _, supply := range supplies(doc) {
		if received, ok := o.reports[supply.Zone]; !ok || now.Sub(received.at) > reportMaxAge {
			// A first need is computed from what is loaded, which is not known yet.
			continue
		}
		supply.LoadedUpstreams = countLoaded(upstreams, supply.Key)
		o.forecast.Step(now, supply)
	}
	for _, effect := range o.forecast.Tick(now) {
		if need, ok := effect.(forecaster.DesiredReplicas); ok {
			o.needs[need.Key] = need.Count
		}
	}
	var needs []orderer.DesiredReplicas
	for key, count := range o.needs {
		needs = append(needs, orderer.DesiredReplicas{Model: key.Model, Zone: key.Zone, Count: count})
	}
	slices.SortFunc(needs, compareNeeds)
	o.orderer.Step(now, orderer.Assign(needs, upstreams))
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

func supplies(doc *parser.Document) []forecaster.Capacity {
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

func compareNeeds(a, b orderer.DesiredReplicas) int {
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
