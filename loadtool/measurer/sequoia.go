package measurer

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/admitter"
	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/limiter"
	"sequoiaspread.example/sequoia/retrier"
	"sequoiaspread.example/sequoia/router"
)

// coordinated is the policy under test: it embeds the library packages as a gateway does.
type coordinated struct {
	sim      *simulation
	gateway  *gateway
	router   *router.Router
	admitter *admitter.Admitter
	limiter  *limiter.Limiter
	retrier  *retrier.Retrier
	waiting  map[string]*request
	running  map[string]*request // admitted by this gateway and not completed
}

func newCoordinated(sim *simulation, g *gateway) policy {
	z := sim.zones[g.zone]
	weights := map[string]float64{}
	for _, o := range sim.doc.Organisations {
		weights[o.Name] = o.Weight
	}
	first := sim.doc.Ranks[0]
	return &coordinated{
		sim:     sim,
		gateway: g,
		router: router.New(router.Config{
			Zone:      z.name,
			Region:    z.region,
			Ranks:     sim.doc.Ranks,
			Network:   sim.doc.Network,
			Estimator: estimator.Config{Senders: len(z.gateways)},
		}),
		admitter: admitter.New(admitter.Config{Ranks: sim.doc.Ranks, Weights: weights}),
		limiter:  limiter.New(limiter.Config{Target: first.TokenIntervalTarget.Duration, Objective: first.Objective}),
		retrier:  retrier.New(retrier.Config{}),
		waiting:  map[string]*request{},
		running:  map[string]*request{},
	}
}

func (c *coordinated) route(now time.Duration, q *request, localWait time.Duration, localOnly bool) router.Choice {
	r := &router.Request{
		ID:           q.id,
		Organisation: c.organisation(q),
		Service:      c.sim.pool.Name,
		Model:        c.sim.model,
		Rank:         q.rank,
		PromptTokens: q.promptTokens,
		Prefix:       q.prefix,
		AllowedZones: q.allowed,
		Hops:         q.hops,
		LocalWait:    localWait,
	}
	localZone := c.sim.zones[c.gateway.zone].name
	if localOnly && slices.Contains(q.allowed, localZone) {
		r.AllowedZones = []string{localZone}
	}
	return c.router.Route(epoch.Add(now), r)
}

func (c *coordinated) organisation(q *request) string {
	return c.sim.doc.Organisations[q.organisation].Name
}

func (c *coordinated) class(q *request) estimator.Class {
	return estimator.Class{Service: c.sim.pool.Name, Rank: q.rank}
}

func (c *coordinated) arrived(now time.Duration, q *request) {
	c.retrier.Step(epoch.Add(now), retrier.Started{})
	c.dispatch(now, q)
}

// dispatch forwards a request to another zone, requests local admission, or refuses it.
func (c *coordinated) dispatch(now time.Duration, q *request) {
	t := epoch.Add(now)
	wait := c.admitter.ExpectedWait(t, q.rank, c.organisation(q))
	choice := c.route(now, q, wait, false)
	switch choice.Kind {
	case router.KindForward:
		c.forward(now, q, choice.Zone)
	case router.KindNone:
		c.sim.refuse(now, q)
	case router.KindUpstream:
		c.requestAdmission(now, q, choice)
	}
}

func (c *coordinated) forward(now time.Duration, q *request, zone string) {
	to := slices.Index(c.sim.pool.Zones, zone)
	c.sim.forward(now, c.gateway, q, to)
}

func (c *coordinated) requestAdmission(now time.Duration, q *request, choice router.Choice) {
	c.waiting[q.id] = q
	estimatedWork := c.router.Estimator().Work(c.class(q), q.promptTokens, choice.Explanation.HitTokens)
	networkDelay := q.pathDelay + c.sim.doc.Network.CallerDelay.Duration
	c.applyEffects(now, c.admitter.Step(epoch.Add(now), admitter.AdmissionRequest{
		RequestID:    q.id,
		Organisation: c.organisation(q),
		Rank:         q.rank,
		Work:         estimatedWork,
		FirstToken:   choice.Explanation.Prefill + networkDelay,
	}))
}

func (c *coordinated) applyEffects(now time.Duration, effects []admitter.Effect) {
	for _, e := range effects {
		q := c.waiting[e.Request()]
		delete(c.waiting, e.Request())
		switch e := e.(type) {
		case admitter.Admit:
			c.admit(now, q, e)
		case admitter.Refuse:
			c.sim.refuse(now, q)
		}
	}
}

func (c *coordinated) admit(now time.Duration, q *request, e admitter.Admit) {
	q.priority = e.Rank
	choice := c.route(now, q, 0, true)
	if choice.Kind != router.KindUpstream {
		c.sim.refuse(now, q)
		c.release(now, q)
		return
	}
	c.running[q.id] = q
	c.router.Step(epoch.Add(now), router.RequestSent{
		Upstream:     choice.Upstream,
		RequestID:    q.id,
		Class:        c.class(q),
		PromptTokens: q.promptTokens,
		HitTokens:    choice.Explanation.HitTokens,
		Prefix:       q.prefix,
	})
	c.sim.send(now, c.gateway, q, c.sim.runnerByName(choice.Upstream.Name))
}

func (c *coordinated) release(now time.Duration, q *request) {
	delete(c.running, q.id)
	c.applyEffects(now, c.admitter.Step(epoch.Add(now), admitter.Done{RequestID: q.id}))
}

func (c *coordinated) firstToken(now time.Duration, q *request) {
	c.router.Step(epoch.Add(now), router.FirstToken{Upstream: q.runner.upstream(c.sim), RequestID: q.id})
}

func (c *coordinated) finished(now time.Duration, q *request) {
	c.router.Step(epoch.Add(now), router.RequestCompleted{
		Upstream:     q.runner.upstream(c.sim),
		RequestID:    q.id,
		OutputTokens: q.outputTokens,
	})
	c.release(now, q)
}

// failed releases the slot of a request that was sent to a runner, then retries or refuses the request.
func (c *coordinated) failed(now time.Duration, q *request) {
	if _, ok := c.running[q.id]; ok {
		c.router.Step(epoch.Add(now), router.RequestFailed{Upstream: q.runner.upstream(c.sim), RequestID: q.id})
		c.release(now, q)
	}
	decision := c.retrier.Decide(epoch.Add(now), retrier.Failure{
		Outcome:        retrier.OutcomeUnknown,
		Idempotent:     true,
		BytesDelivered: q.started,
		Attempt:        max(q.attempts, 1),
		Deadline:       epoch.Add(q.deadline),
	}, c.sim.random.Float64())
	if !decision.Retry {
		c.sim.refuse(now, q)
		return
	}
	c.sim.schedule(now+decision.After, func(now time.Duration) { c.dispatch(now, q) })
}

func (c *coordinated) tokensGenerated(now time.Duration, r *runner, count int, interval time.Duration) {
	u := r.upstream(c.sim)
	c.limiter.Step(epoch.Add(now), limiter.Tokens{Upstream: u, Interval: interval, Count: count})
}

func (c *coordinated) handleMessage(now time.Duration, m router.Message) {
	t := epoch.Add(now)
	localZone := c.sim.zones[c.gateway.zone].name
	switch m := m.(type) {
	case router.UpstreamAdded:
		if m.Upstream.Zone != localZone {
			return
		}
		c.limiter.Step(t, limiter.UpstreamAdded{Upstream: m.Upstream, BatchLimit: m.BatchLimit})
	case router.UpstreamRemoved:
		c.limiter.Step(t, limiter.UpstreamRemoved{Upstream: m.Upstream})
	}
	c.router.Step(t, m)
}

func (c *coordinated) tick(now time.Duration) {
	t := epoch.Add(now)
	for _, r := range c.sim.zones[c.gateway.zone].runners {
		if load, ok := c.router.Estimator().Load(t, r.name); ok {
			c.limiter.Step(t, limiter.Load{Upstream: r.upstream(c.sim), Running: load.Outstanding})
		}
	}
	for _, e := range c.limiter.Tick(t) {
		c.applyLimit(t, e)
	}
	c.router.Tick(t)
	slots, outstanding := c.router.Capacity(t, c.sim.model)
	senders := len(c.sim.zones[c.gateway.zone].gateways)
	peerInFlight := max(outstanding-float64(len(c.running)), 0)
	c.applyEffects(now, c.admitter.Step(t, admitter.Capacity{Slots: slots, PeerInFlight: peerInFlight, Senders: senders}))
	c.applyEffects(now, c.admitter.Tick(t))
}

func (c *coordinated) applyLimit(t time.Time, e limiter.Effect) {
	switch e := e.(type) {
	case limiter.Changed:
		c.router.Step(t, router.ConcurrencyLimit{Upstream: e.Upstream, Limit: e.Limit})
	case limiter.Slow:
		c.router.Step(t, router.Suspect{Upstream: e.Upstream, Suspected: e.Avoid})
	}
}

func (c *coordinated) zoneReport(now time.Duration) router.ZoneReport {
	t := epoch.Add(now)
	z := c.sim.zones[c.gateway.zone]
	slots, outstanding := c.router.Capacity(t, c.sim.model)
	return router.ZoneReport{
		Zone:   z.name,
		Region: z.region,
		At:     t,
		Models: []router.ZoneLoad{{
			Model:       c.sim.model,
			Capacity:    int(slots),
			Outstanding: outstanding,
			Waits:       c.admitter.ExpectedWaits(t),
		}},
	}
}

// peerReports returns the in-flight requests of this gateway on each runner of the availability zone.
func (c *coordinated) peerReports(now time.Duration) []router.PeerLoad {
	var all []router.PeerLoad
	for _, r := range c.sim.zones[c.gateway.zone].runners {
		load, ok := c.router.Estimator().Load(epoch.Add(now), r.name)
		if ok {
			all = append(all, router.PeerLoad{Upstream: r.upstream(c.sim), VM: c.gateway.name, At: epoch.Add(now), InFlight: load.InFlight})
		}
	}
	return all
}

func (sim *simulation) runnerByName(name string) *runner {
	for _, r := range sim.runners {
		if r.name == name {
			return r
		}
	}
	return nil
}
