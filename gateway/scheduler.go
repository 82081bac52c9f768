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

// tickInterval limits the delay of admission and rejection of queued requests.
const tickInterval = 25 * time.Millisecond

// schedulerConfig holds the availability zone and the dependencies of the scheduler.
type schedulerConfig struct {
	zone string
	now  func() time.Time
	// shareFinding sends a finding about a request that may crash upstreams to the other gateways.
	shareFinding func(isolator.Finding)
}

// scheduler decides when and where requests run. It guards the router, retrier, isolator, limiter and admitters with
// one lock; none of their calls blocks.
type scheduler struct {
	config schedulerConfig

	mu        sync.Mutex
	env       *environment
	router    *router.Router
	retrier   *retrier.Retrier
	isolator  *isolator.Isolator
	limiter   *limiter.Limiter
	queues    map[string]*poolQueue
	retired   []*poolQueue
	upstreams map[string]*upstream
}

func newScheduler(config schedulerConfig) *scheduler {
	return &scheduler{config: config, retrier: retrier.New(retrier.Config{}), isolator: isolator.New(), queues: map[string]*poolQueue{}, upstreams: map[string]*upstream{}}
}

// configure applies a new configuration. The state of the router and the limiter is kept unless ranks or network delays
// change. Queues are replaced only if ranks, organisations or pools change; requests in a replaced queue remain in it.
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
	for _, queue := range s.queues {
		s.retired = append(s.retired, queue)
	}
	s.queues = map[string]*poolQueue{}
	for _, pool := range env.doc.Pools {
		s.queues[pool.Name] = &poolQueue{pool: pool, admitter: admitter.New(s.admitterConfig()), waiters: map[string]chan admitter.Effect{}}
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

// applyListChange applies the changes of a VM list.
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

// notifyRouter passes one message to the router.
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

// tick advances the time of all components.
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
