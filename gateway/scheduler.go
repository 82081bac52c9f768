package main

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/admitter"
	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/limiter"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/retrier"
	"sequoiaspread.example/sequoia/router"
)

// tickInterval bounds how late a queued request is admitted or refused.
const tickInterval = 25 * time.Millisecond

// schedulerConfig places the scheduler.
type schedulerConfig struct {
	zone string
	now  func() time.Time
	// share passes on what was found out about a request that may crash upstreams.
	share func(isolator.Finding)
}

// scheduler decides when and where requests run. It holds the pure packages under one lock; none of their calls blocks.
type scheduler struct {
	config schedulerConfig

	mu       sync.Mutex
	env      *environment
	router   *router.Router
	retrier  *retrier.Retrier
	isolator *isolator.Isolator
	limiter  *limiter.Limiter
	pools    map[string]*poolQueue
	retired  []*poolQueue
	known    map[string]*upstream
}

// poolQueue is the admission of one pool under one configuration.
type poolQueue struct {
	pool     parser.Pool
	admitter *admitter.Admitter
	waiting  map[string]chan admitter.Effect
	admitted int
}

// ticket is the admission of one request; it is released once.
type ticket struct {
	queue   *poolQueue
	id      string
	forward string
	waited  time.Duration
}

func newScheduler(config schedulerConfig) *scheduler {
	return &scheduler{config: config, retrier: retrier.New(retrier.Config{}), isolator: isolator.New(), pools: map[string]*poolQueue{}, known: map[string]*upstream{}}
}

// configure takes a new configuration. What was learned of upstreams is kept unless ranks or delays changed; queues
// are replaced only when the ranks or the weights changed, and requests in an old queue are still decided by it.
func (s *scheduler) configure(env *environment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.env
	s.env = env
	if before == nil || !reflect.DeepEqual(before.doc.Ranks, env.doc.Ranks) || before.doc.Network != env.doc.Network {
		s.router = router.New(s.routerConfig())
		s.limiter = limiter.New(s.limiterConfig())
	}
	for _, known := range s.known {
		s.see(known)
	}
	if before != nil && reflect.DeepEqual(before.doc.Ranks, env.doc.Ranks) && reflect.DeepEqual(before.doc.Organisations, env.doc.Organisations) && reflect.DeepEqual(before.doc.Pools, env.doc.Pools) {
		return
	}
	for _, queue := range s.pools {
		s.retired = append(s.retired, queue)
	}
	s.pools = map[string]*poolQueue{}
	for _, pool := range env.doc.Pools {
		s.pools[pool.Name] = &poolQueue{pool: pool, admitter: admitter.New(s.admitterConfig()), waiting: map[string]chan admitter.Effect{}}
	}
	s.refresh(s.config.now())
}

func (s *scheduler) routerConfig() router.Config {
	return router.Config{
		Zone:      s.config.zone,
		Region:    s.env.doc.RegionOf(s.config.zone),
		Ranks:     s.env.doc.Ranks,
		Network:   s.env.doc.Network,
		Estimator: estimator.Config{Senders: len(s.env.zoneVMs(s.config.zone))},
	}
}

func (s *scheduler) admitterConfig() admitter.Config {
	weights := map[string]float64{}
	for _, organisation := range s.env.doc.Organisations {
		weights[organisation.Name] = organisation.Weight
	}
	return admitter.Config{Ranks: s.env.doc.Ranks, Weights: weights}
}

// modelOf names what a job needs of an upstream: its model, or the pool of a plain service.
func modelOf(pool parser.Pool, model string) string {
	if pool.Kind == parser.PoolPlain {
		return "pool/" + pool.Name
	}
	return model
}

func modelsOf(pool parser.Pool) []string {
	if pool.Kind == parser.PoolPlain {
		return []string{modelOf(pool, "")}
	}
	return pool.Models
}

func (s *scheduler) see(u *upstream) {
	if s.env == nil {
		return
	}
	pool, ok := s.env.doc.Pool(u.pool)
	if !ok {
		return
	}
	s.router.Step(s.config.now(), router.Seen{Upstream: identity(u), Models: u.served(pool), BatchLimit: pool.BatchLimit})
	if pool.Kind == parser.PoolEngine {
		s.limiter.Step(s.config.now(), limiter.Seen{Upstream: identity(u), BatchLimit: pool.BatchLimit})
	}
	if u.isLeaving() {
		s.router.Step(s.config.now(), router.Leaving{Upstream: identity(u)})
	}
}

func identity(u *upstream) router.Upstream {
	return router.Upstream{Name: u.name, Zone: u.zone, Incarnation: u.incarnation}
}

// changed takes in what a list of VMs changed.
func (s *scheduler) changed(change listChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, removed := range change.removed {
		delete(s.known, removed.name)
		s.step(router.Gone{Upstream: identity(removed)})
		if s.limiter != nil {
			s.limiter.Step(s.config.now(), limiter.Gone{Upstream: identity(removed)})
		}
	}
	for _, added := range change.added {
		s.known[added.name] = added
		s.see(added)
	}
	for _, leaving := range change.leaving {
		s.step(router.Leaving{Upstream: identity(leaving)})
	}
	s.refresh(s.config.now())
}

// tell passes one message to the router.
func (s *scheduler) tell(message router.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(message)
}

func (s *scheduler) step(message router.Message) {
	if s.router != nil {
		s.router.Step(s.config.now(), message)
	}
}

// tick lets time pass for all parts.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.router == nil {
		return
	}
	now := s.config.now()
	s.router.Tick(now)
	s.isolator.Tick(now)
	s.limit(now)
	s.refresh(now)
	for _, queue := range s.allQueues() {
		queue.perform(queue.admitter.Tick(now))
	}
	s.retired = keepBusy(s.retired)
}

func (s *scheduler) allQueues() []*poolQueue {
	queues := append([]*poolQueue(nil), s.retired...)
	for _, queue := range s.pools {
		queues = append(queues, queue)
	}
	return queues
}

func keepBusy(queues []*poolQueue) []*poolQueue {
	var busy []*poolQueue
	for _, queue := range queues {
		if len(queue.waiting) > 0 || queue.admitted > 0 {
			busy = append(busy, queue)
		}
	}
	return busy
}

// refresh tells each queue the capacity that its upstreams have now.
func (s *scheduler) refresh(now time.Time) {
	if s.router == nil {
		return
	}
	for _, queue := range s.allQueues() {
		slots, outstanding := s.router.Capacity(now, modelsOf(queue.pool)[0])
		others := max(0, outstanding-float64(queue.admitted))
		queue.perform(queue.admitter.Step(now, admitter.Capacity{Slots: slots, Others: others, Senders: len(s.env.zoneVMs(s.config.zone))}))
	}
}

// perform hands decisions to the requests that wait for them.
func (q *poolQueue) perform(effects []admitter.Effect) {
	for _, effect := range effects {
		waiter, ok := q.waiting[effect.Request()]
		if !ok {
			continue
		}
		delete(q.waiting, effect.Request())
		if _, ok := effect.(admitter.Admit); ok {
			q.admitted++
		}
		waiter <- effect
	}
}

// enter waits until a request may run. The error is a failure of a request that was not run.
func (s *scheduler) enter(ctx context.Context, j *job, excluded []string) (*ticket, error) {
	t, waiter, err := s.offer(j, excluded)
	if err != nil || waiter == nil {
		return t, err
	}
	select {
	case effect := <-waiter:
		return t.decided(effect)
	case <-ctx.Done():
		s.withdraw(t, waiter)
		return nil, newFailure("wait for admission", causeOfEnd(ctx), context.Cause(ctx))
	}
}

// causeOfEnd names why a request ended before anything was sent for it.
func causeOfEnd(ctx context.Context) classifier.Cause {
	if eris.Is(context.Cause(ctx), errTimedOut) {
		return classifier.CauseWaitExceeded
	}
	return classifier.FromCall(classifier.Call{
		Withdrawn:  eris.Is(context.Cause(ctx), errWithdrawn),
		CallerGone: true,
	})
}

func (s *scheduler) offer(j *job, excluded []string) (*ticket, chan admitter.Effect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.pools[j.pool.Name]
	if !ok {
		return nil, nil, refuse("find pool", classifier.CauseUnknownService, "")
	}
	now := s.config.now()
	verdict, err := s.judge(now, j)
	if err != nil {
		return nil, nil, err
	}
	request := s.request(j, excluded)
	request.Alone = verdict.Kind == isolator.VerdictAlone
	request.LocalWait = queue.admitter.ExpectedWait(now, j.rank, j.organisation.Name)
	choice := s.route(now, request)
	t := &ticket{queue: queue, id: j.id}
	switch choice.Kind {
	case router.KindForward:
		t.forward = choice.Zone
		t.queue = nil
		return t, nil, nil
	case router.KindNone:
		return nil, nil, refusedChoice(choice)
	}
	waiter := make(chan admitter.Effect, 1)
	queue.waiting[j.id] = waiter
	class := estimator.Class{Service: j.service.Name, Rank: j.rank}
	work := s.router.Estimator().Work(class, j.promptTokens, choice.Explain.HitTokens)
	queue.perform(queue.admitter.Step(now, admitter.Offer{
		RequestID: j.id, Organisation: j.organisation.Name, Rank: j.rank, Work: work,
		FirstToken: choice.Explain.Prefill + s.env.doc.Network.CallerDelay.Duration,
	}))
	return t, waiter, nil
}

func (t *ticket) decided(effect admitter.Effect) (*ticket, error) {
	switch decision := effect.(type) {
	case admitter.Admit:
		t.waited = decision.Waited
		return t, nil
	case admitter.Refuse:
		f := refuse("admit request", refusalCauses[decision.Reason], "")
		f.retryAfter = decision.RetryAfter
		return nil, f
	default:
		return nil, newFailure("admit request", classifier.CauseInternal, eris.New("decision is not known"))
	}
}

var refusalCauses = map[admitter.Reason]classifier.Cause{
	admitter.ReasonTarget:    classifier.CauseWaitExceeded,
	admitter.ReasonQueueFull: classifier.CauseQueueFull,
	admitter.ReasonExpired:   classifier.CauseWaitExceeded,
	admitter.ReasonUnknown:   classifier.CauseUnknownRank,
	admitter.ReasonNoRoom:    classifier.CauseNoUpstream,
}

func refusedChoice(choice router.Choice) error {
	cause := classifier.CauseNoUpstream
	if choice.Reason == router.ReasonHopLimit {
		cause = classifier.CauseHopLimit
	}
	f := refuse("choose place", cause, string(choice.Reason))
	f.retryAfter = choice.RetryAfter
	return f
}

func (s *scheduler) withdraw(t *ticket, waiter chan admitter.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := t.queue.waiting[t.id]; waits {
		delete(t.queue.waiting, t.id)
		t.queue.perform(t.queue.admitter.Step(s.config.now(), admitter.Withdraw{RequestID: t.id}))
		return
	}
	if _, admitted := (<-waiter).(admitter.Admit); admitted {
		s.done(t)
	}
}

// release ends the admission of a request.
func (s *scheduler) release(t *ticket) {
	if t == nil || t.queue == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done(t)
}

func (s *scheduler) done(t *ticket) {
	t.queue.admitted--
	t.queue.perform(t.queue.admitter.Step(s.config.now(), admitter.Done{RequestID: t.id}))
}

func (s *scheduler) request(j *job, excluded []string) *router.Request {
	hops := make([]router.Hop, 0, len(j.hops))
	for _, each := range j.hops {
		hops = append(hops, router.Hop{Zone: each.zone, VM: each.vm})
	}
	zones := s.env.restrictor.AllowedZones(j.subject)
	if j.localOnly {
		zones = []string{s.config.zone}
	}
	return &router.Request{
		ID: j.id, Organisation: j.organisation.Name, Service: j.service.Name, Model: modelOf(j.pool, j.model), Rank: j.rank,
		PromptTokens: j.promptTokens, PromptBytes: len(j.body), Prefix: j.prefix,
		AllowedZones: zones, Hops: hops, Excluded: excluded,
	}
}

// route avoids the upstreams that already failed the request as long as there are others.
func (s *scheduler) route(now time.Time, request *router.Request) router.Choice {
	choice := s.router.Route(now, request)
	if choice.Kind != router.KindNone || len(request.Excluded) == 0 {
		return choice
	}
	request.Excluded = nil
	return s.router.Route(now, request)
}

// placed is where the next attempt goes: an upstream, or another availability zone.
type placed struct {
	upstream *upstream
	zone     string
}

// place chooses where the next attempt of an admitted request goes, and counts it as sent.
func (s *scheduler) place(j *job, excluded []string) (placed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.now()
	verdict, err := s.judge(now, j)
	if err != nil {
		return placed{}, err
	}
	if verdict.Kind == isolator.VerdictFollow {
		return s.placeUpstream(now, j, router.Choice{Kind: router.KindUpstream, Upstream: verdict.Upstream}, false)
	}
	request := s.request(j, excluded)
	request.Alone = verdict.Kind == isolator.VerdictAlone
	choice := s.route(now, request)
	switch choice.Kind {
	case router.KindForward:
		return placed{zone: choice.Zone}, nil
	case router.KindUpstream:
		return s.placeUpstream(now, j, choice, request.Alone)
	default:
		return placed{}, refusedChoice(choice)
	}
}

func (s *scheduler) placeUpstream(now time.Time, j *job, choice router.Choice, alone bool) (placed, error) {
	known, ok := s.known[choice.Upstream.Name]
	if !ok || known.incarnation != choice.Upstream.Incarnation || !known.usable() {
		return placed{}, refuse("choose place", classifier.CauseNoUpstream, "")
	}
	s.router.Step(now, router.Sent{
		Upstream: choice.Upstream, RequestID: j.id, Class: estimator.Class{Service: j.service.Name, Rank: j.rank},
		PromptTokens: j.promptTokens, HitTokens: choice.Explain.HitTokens,
	})
	if j.pool.Kind == parser.PoolEngine {
		s.isolate(isolator.Started{RequestID: j.id, Fingerprint: j.fingerprint, Upstream: choice.Upstream, Alone: alone})
	}
	return placed{upstream: known, zone: known.zone}, nil
}

// elsewhere returns the availability zone to which a request must go because no upstream here can take it.
func (s *scheduler) elsewhere(j *job) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.router.Route(s.config.now(), s.request(j, nil))
	return choice.Zone, choice.Kind == router.KindForward
}

// resend counts a request that continues at the same upstream.
func (s *scheduler) resend(j *job, t target) {
	s.tell(router.Sent{
		Upstream: identity(t.upstream), RequestID: j.id, Class: estimator.Class{Service: j.service.Name, Rank: j.rank},
		PromptTokens: j.promptTokens, HitTokens: j.promptTokens,
	})
}

// started counts a request in the retry budget.
func (s *scheduler) started() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Step(s.config.now(), retrier.Started{})
}

// retry decides whether a failed attempt is followed by another one, and after which wait.
func (s *scheduler) retry(failed retrier.Failure) retrier.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Decide(s.config.now(), failed, rand.Float64())
}

// totals returns the requests and retries of this process.
func (s *scheduler) totals() retrier.Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Totals()
}

// takeFleet counts the requests and retries of another gateway in the budget of the fleet.
// own returns the own requests on each engine of the availability zone, with zeros, since the others need a statement of
// every gateway.
func (s *scheduler) own(upstreams []*upstream) []wireOwn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.router == nil {
		return nil
	}
	var list []wireOwn
	for _, known := range upstreams {
		if load, ok := s.router.Estimator().Load(s.config.now(), known.name); ok {
			list = append(list, wireOwn{wireUpstream: wireUpstream{Name: known.name, Incarnation: known.incarnation}, Requests: load.Own})
		}
	}
	return list
}

func (s *scheduler) takeFleet(report retrier.FleetReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Step(s.config.now(), report)
}

// loads returns the state of each model here, for the reports to other availability zones.
func (s *scheduler) loads() []wireModelLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.now()
	var loads []wireModelLoad
	for _, queue := range s.pools {
		for _, model := range modelsOf(queue.pool) {
			slots, outstanding := s.router.Capacity(now, model)
			loads = append(loads, wireModelLoad{Model: model, Capacity: int(slots), Outstanding: outstanding, Waits: queue.admitter.Waits(now)})
		}
	}
	return loads
}
