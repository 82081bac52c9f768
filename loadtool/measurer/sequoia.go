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

// coordinated embeds the library packages as a gateway does.
type coordinated struct {
	world    *world
	gateway  *gateway
	router   *router.Router
	admitter *admitter.Admitter
	limiter  *limiter.Limiter
	retrier  *retrier.Retrier
	waiting  map[string]*request
	running  map[string]*request // admitted here and not ended
}

func newCoordinated(w *world, g *gateway) policy {
	z := w.zones[g.zone]
	weights := map[string]float64{}
	for _, o := range w.doc.Organisations {
		weights[o.Name] = o.Weight
	}
	first := w.doc.Ranks[0]
	return &coordinated{
		world:   w,
		gateway: g,
		router: router.New(router.Config{
			Zone:      z.name,
			Region:    z.region,
			Ranks:     w.doc.Ranks,
			Network:   w.doc.Network,
			Estimator: estimator.Config{Senders: len(z.gateways)},
		}),
		admitter: admitter.New(admitter.Config{Ranks: w.doc.Ranks, Weights: weights}),
		limiter:  limiter.New(limiter.Config{Target: first.TokenIntervalTarget.Duration, Objective: first.Objective}),
		retrier:  retrier.New(retrier.Config{}),
		waiting:  map[string]*request{},
		running:  map[string]*request{},
	}
}

func (c *coordinated) route(now time.Duration, q *request, wait time.Duration, here bool) router.Choice {
	r := &router.Request{
		ID:           q.id,
		Organisation: c.organisation(q),
		Service:      c.world.pool.Name,
		Model:        c.world.model,
		Rank:         q.rank,
		PromptTokens: q.prompt,
		Prefix:       q.prefix,
		AllowedZones: q.allowed,
		Hops:         q.hops,
		LocalWait:    wait,
	}
	own := c.world.zones[c.gateway.zone].name
	if here && slices.Contains(q.allowed, own) {
		r.AllowedZones = []string{own}
	}
	return c.router.Route(epoch.Add(now), r)
}

func (c *coordinated) organisation(q *request) string {
	return c.world.doc.Organisations[q.organisation].Name
}

func (c *coordinated) class(q *request) estimator.Class {
	return estimator.Class{Service: c.world.pool.Name, Rank: q.rank}
}

func (c *coordinated) arrive(now time.Duration, q *request) {
	c.retrier.Step(epoch.Add(now), retrier.Started{})
	c.place(now, q)
}

// place forwards a request, or offers it for admission here.
func (c *coordinated) place(now time.Duration, q *request) {
	t := epoch.Add(now)
	wait := c.admitter.ExpectedWait(t, q.rank, c.organisation(q))
	choice := c.route(now, q, wait, false)
	switch choice.Kind {
	case router.KindForward:
		c.forward(now, q, choice.Zone)
	case router.KindNone:
		c.world.refuse(now, q)
	case router.KindUpstream:
		c.offer(now, q, choice)
	}
}

func (c *coordinated) forward(now time.Duration, q *request, zone string) {
	to := slices.Index(c.world.pool.Zones, zone)
	c.world.forward(now, c.gateway, q, to)
}

func (c *coordinated) offer(now time.Duration, q *request, choice router.Choice) {
	c.waiting[q.id] = q
	work := c.router.Estimator().Work(c.class(q), q.prompt, choice.Explanation.HitTokens)
	network := q.pathDelay + c.world.doc.Network.CallerDelay.Duration
	c.perform(now, c.admitter.Step(epoch.Add(now), admitter.AdmissionRequest{
		RequestID:    q.id,
		Organisation: c.organisation(q),
		Rank:         q.rank,
		Work:         work,
		FirstToken:   choice.Explanation.Prefill + network,
	}))
}

func (c *coordinated) perform(now time.Duration, effects []admitter.Effect) {
	for _, e := range effects {
		q := c.waiting[e.Request()]
		delete(c.waiting, e.Request())
		switch e := e.(type) {
		case admitter.Admit:
			c.admit(now, q, e)
		case admitter.Refuse:
			c.world.refuse(now, q)
		}
	}
}

func (c *coordinated) admit(now time.Duration, q *request, e admitter.Admit) {
	q.priority = e.Rank
	choice := c.route(now, q, 0, true)
	if choice.Kind != router.KindUpstream {
		c.world.refuse(now, q)
		c.done(now, q)
		return
	}
	c.running[q.id] = q
	c.router.Step(epoch.Add(now), router.RequestSent{
		Upstream:     choice.Upstream,
		RequestID:    q.id,
		Class:        c.class(q),
		PromptTokens: q.prompt,
		HitTokens:    choice.Explanation.HitTokens,
		Prefix:       q.prefix,
	})
	c.world.send(now, c.gateway, q, c.world.runnerByName(choice.Upstream.Name))
}

func (c *coordinated) done(now time.Duration, q *request) {
	delete(c.running, q.id)
	c.perform(now, c.admitter.Step(epoch.Add(now), admitter.Done{RequestID: q.id}))
}

func (c *coordinated) firstToken(now time.Duration, q *request) {
	c.router.Step(epoch.Add(now), router.FirstToken{Upstream: q.runner.upstream(c.world), RequestID: q.id})
}

func (c *coordinated) finished(now time.Duration, q *request) {
	c.router.Step(epoch.Add(now), router.RequestCompleted{
		Upstream:     q.runner.upstream(c.world),
		RequestID:    q.id,
		OutputTokens: q.output,
	})
	c.done(now, q)
}

// failed handles a request whose runner crashed or could not be reached, or a forward that did not arrive.
func (c *coordinated) failed(now time.Duration, q *request) {
	if _, ok := c.running[q.id]; ok {
		c.router.Step(epoch.Add(now), router.RequestFailed{Upstream: q.runner.upstream(c.world), RequestID: q.id})
		c.done(now, q)
	}
	decision := c.retrier.Decide(epoch.Add(now), retrier.Failure{
		Outcome:        retrier.OutcomeUnknown,
		Idempotent:     true,
		BytesDelivered: q.started,
		Attempt:        max(q.attempts, 1),
		Deadline:       epoch.Add(q.giveUp),
	}, c.world.random.Float64())
	if !decision.Retry {
		c.world.refuse(now, q)
		return
	}
	c.world.schedule(now+decision.After, func(now time.Duration) { c.place(now, q) })
}

func (c *coordinated) tokens(now time.Duration, r *runner, count int, interval time.Duration) {
	u := r.upstream(c.world)
	c.limiter.Step(epoch.Add(now), limiter.Tokens{Upstream: u, Interval: interval, Count: count})
}

func (c *coordinated) message(now time.Duration, m router.Message) {
	t := epoch.Add(now)
	own := c.world.zones[c.gateway.zone].name
	switch m := m.(type) {
	case router.UpstreamAdded:
		if m.Upstream.Zone != own {
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
	for _, r := range c.world.zones[c.gateway.zone].runners {
		if load, ok := c.router.Estimator().Load(t, r.name); ok {
			c.limiter.Step(t, limiter.Load{Upstream: r.upstream(c.world), Running: load.Outstanding})
		}
	}
	for _, e := range c.limiter.Tick(t) {
		c.limit(t, e)
	}
	c.router.Tick(t)
	slots, outstanding := c.router.Capacity(t, c.world.model)
	senders := len(c.world.zones[c.gateway.zone].gateways)
	others := max(outstanding-float64(len(c.running)), 0)
	c.perform(now, c.admitter.Step(t, admitter.Capacity{Slots: slots, PeerInFlight: others, Senders: senders}))
	c.perform(now, c.admitter.Tick(t))
}

func (c *coordinated) limit(t time.Time, e limiter.Effect) {
	switch e := e.(type) {
	case limiter.Changed:
		c.router.Step(t, router.ConcurrencyLimit{Upstream: e.Upstream, Limit: e.Limit})
	case limiter.Slow:
		c.router.Step(t, router.Suspect{Upstream: e.Upstream, Suspected: e.Avoid})
	}
}

func (c *coordinated) zoneReport(now time.Duration) router.ZoneReport {
	t := epoch.Add(now)
	z := c.world.zones[c.gateway.zone]
	slots, outstanding := c.router.Capacity(t, c.world.model)
	return router.ZoneReport{
		Zone:   z.name,
		Region: z.region,
		At:     t,
		Models: []router.ZoneLoad{{
			Model:       c.world.model,
			Capacity:    int(slots),
			Outstanding: outstanding,
			Waits:       c.admitter.ExpectedWaits(t),
		}},
	}
}

// peerReports states the own requests on each runner of the availability zone.
func (c *coordinated) peerReports(now time.Duration) []router.PeerLoad {
	var all []router.PeerLoad
	for _, r := range c.world.zones[c.gateway.zone].runners {
		load, ok := c.router.Estimator().Load(epoch.Add(now), r.name)
		if ok {
			all = append(all, router.PeerLoad{Upstream: r.upstream(c.world), VM: c.gateway.name, At: epoch.Add(now), InFlight: load.InFlight})
		}
	}
	return all
}

func (w *world) runnerByName(name string) *runner {
	for _, r := range w.runners {
		if r.name == name {
			return r
		}
	}
	return nil
}
