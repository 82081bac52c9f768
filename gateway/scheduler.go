package main

import (
	"reflect"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/admitter"
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
	shareFinding func(isolator.Finding)
}

// scheduler decides when and where requests run. It holds the pure packages under one lock; none of their calls blocks.
type scheduler struct {
	config schedulerConfig

	mu        sync.Mutex
	env       *environment
	router    *router.Router
	retrier   *retrier.Retrier
	isolator  *isolator.Isolator
	limiter   *limiter.Limiter
	pools     map[string]*poolQueue
	retired   []*poolQueue
	upstreams map[string]*upstream
}

func newScheduler(config schedulerConfig) *scheduler {
	return &scheduler{config: config, retrier: retrier.New(retrier.Config{}), isolator: isolator.New(), pools: map[string]*poolQueue{}, upstreams: map[string]*upstream{}}
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
	for _, u := range s.upstreams {
		s.addUpstream(u)
	}
	if before != nil && reflect.DeepEqual(before.doc.Ranks, env.doc.Ranks) && reflect.DeepEqual(before.doc.Organisations, env.doc.Organisations) && reflect.DeepEqual(before.doc.Pools, env.doc.Pools) {
		return
	}
	for _, queue := range s.pools {
		s.retired = append(s.retired, queue)
	}
	s.pools = map[string]*poolQueue{}
	for _, pool := range env.doc.Pools {
		s.pools[pool.Name] = &poolQueue{pool: pool, admitter: admitter.New(s.admitterConfig()), waiters: map[string]chan admitter.Effect{}}
	}
	s.refreshCapacity(s.config.now())
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

func (s *scheduler) addUpstream(u *upstream) {
	if s.env == nil {
		return
	}
	pool, ok := s.env.doc.Pool(u.pool)
	if !ok {
		return
	}
	s.router.Step(s.config.now(), router.UpstreamAdded{Upstream: identity(u), Models: u.servedModels(pool), BatchLimit: pool.BatchLimit})
	if pool.Kind == parser.PoolEngine {
		s.limiter.Step(s.config.now(), limiter.UpstreamAdded{Upstream: identity(u), BatchLimit: pool.BatchLimit})
	}
	if u.isDraining() {
		s.router.Step(s.config.now(), router.Draining{Upstream: identity(u)})
	}
}

// changed takes in what a list of VMs changed.
func (s *scheduler) applyListChange(change listChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, removed := range change.removed {
		delete(s.upstreams, removed.name)
		s.stepRouter(router.UpstreamRemoved{Upstream: identity(removed)})
		if s.limiter != nil {
			s.limiter.Step(s.config.now(), limiter.UpstreamRemoved{Upstream: identity(removed)})
		}
	}
	for _, added := range change.added {
		s.upstreams[added.name] = added
		s.addUpstream(added)
	}
	for _, draining := range change.draining {
		s.stepRouter(router.Draining{Upstream: identity(draining)})
	}
	s.refreshCapacity(s.config.now())
}

// tell passes one message to the router.
func (s *scheduler) notifyRouter(message router.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepRouter(message)
}

func (s *scheduler) stepRouter(message router.Message) {
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
	s.updateLimits(now)
	s.refreshCapacity(now)
	for _, queue := range s.allQueues() {
		queue.applyEffects(queue.admitter.Tick(now))
	}
	s.retired = busyQueues(s.retired)
}
