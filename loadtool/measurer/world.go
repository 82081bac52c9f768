package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
)

// epoch is the start of the virtual clock.
var epoch = time.Unix(1_000_000, 0)

const (
	runnerDelay    = 500 * time.Microsecond // one way between a gateway and a runner of its availability zone
	reportPeriod   = time.Second
	reportLag      = time.Second
	cachePeriod    = 200 * time.Millisecond
	cacheLag       = 300 * time.Millisecond
	cacheLoss      = 0.02 // share of cache events that are lost
	linkLoss       = 0.001
	lossDelay      = 200 * time.Millisecond
	detectionDelay = time.Second // until the gateways know that a runner is gone
	tickPeriod     = 50 * time.Millisecond
	beatPeriod     = 500 * time.Millisecond
)

// zone is one availability zone of the model.
type zone struct {
	name     string
	region   string
	runners  []*runner
	gateways []*gateway
	cut      bool // no traffic to or from other availability zones
}

// gateway is one entry VM.
type gateway struct {
	zone   int
	name   string
	policy policy
}

// policy decides for one gateway.
type policy interface {
	arrive(now time.Duration, q *request)
	firstToken(now time.Duration, q *request)
	finished(now time.Duration, q *request)
	failed(now time.Duration, q *request)
	tokens(now time.Duration, r *runner, count int, interval time.Duration)
	message(now time.Duration, m router.Message)
	tick(now time.Duration)
}

// world is the state of one run.
type world struct {
	doc      *parser.Document
	pool     parser.Pool
	model    string
	zones    []zone
	runners  []*runner
	random   *rand.Rand
	events   eventQueue
	order    int
	result   *result
	requests int
	load     *load
}

// newWorld places runners and gateways as the document does.
func newWorld(doc *parser.Document, pool parser.Pool, runners int, seed uint64, build func(*world, *gateway) policy) *world {
	w := &world{doc: doc, pool: pool, model: pool.Models[0], random: rand.New(rand.NewPCG(seed, seed))}
	for _, name := range pool.Zones {
		w.zones = append(w.zones, zone{name: name, region: doc.RegionOf(name)})
	}
	for i := range runners {
		w.addRunner(i, i%len(w.zones))
	}
	for _, vm := range doc.VMs {
		w.addGateway(vm)
	}
	w.eachGateway(func(g *gateway) { g.policy = build(w, g) })
	for _, r := range w.runners {
		w.announce(0, r)
	}
	w.every(tickPeriod, func(now time.Duration) {
		w.eachGateway(func(g *gateway) { g.policy.tick(now) })
	})
	w.every(reportPeriod, w.report)
	w.every(cachePeriod, w.cacheEvents)
	w.every(beatPeriod, w.beat)
	w.every(beatPeriod, w.beatPeers)
	return w
}

func (w *world) addRunner(number, zone int) {
	r := &runner{
		number:      number,
		zone:        zone,
		name:        fmt.Sprintf("%s-%d", w.pool.Name, number+1),
		incarnation: 1,
		up:          true,
		slowdown:    1,
		batchLimit:  w.pool.BatchLimit,
		cache:       newCache(cacheBlocks),
	}
	w.runners = append(w.runners, r)
	w.zones[zone].runners = append(w.zones[zone].runners, r)
}

func (w *world) addGateway(vm parser.VM) {
	for i := range w.zones {
		if w.zones[i].name == vm.Zone {
			w.zones[i].gateways = append(w.zones[i].gateways, &gateway{zone: i, name: vm.Name})
		}
	}
}

func (w *world) eachGateway(do func(*gateway)) {
	for i := range w.zones {
		for _, g := range w.zones[i].gateways {
			do(g)
		}
	}
}

// delay is the one-way time between two availability zones, with the occasional lost packet.
func (w *world) delay(from, to int) time.Duration {
	if from == to {
		return runnerDelay
	}
	d := w.doc.Network.ZoneDelay.Duration
	if w.zones[from].region != w.zones[to].region {
		d = w.doc.Network.RegionDelay.Duration
	}
	if w.random.Float64() < linkLoss {
		d += lossDelay
	}
	return d
}

// reachable says whether traffic passes between two availability zones.
func (w *world) reachable(from, to int) bool {
	return from == to || (!w.zones[from].cut && !w.zones[to].cut)
}

// send puts a request on its way from a gateway to a runner.
func (w *world) send(now time.Duration, g *gateway, q *request, r *runner) {
	q.holder = g
	q.runner = r
	q.attempts++
	d := w.delay(g.zone, r.zone)
	q.pathDelay += d
	if w.zones[r.zone].region != w.zones[q.entry].region {
		q.crossed = true
	}
	w.schedule(now+d, func(now time.Duration) { w.deliver(now, q, r) })
}

func (w *world) deliver(now time.Duration, q *request, r *runner) {
	if !r.up || !w.reachable(q.holder.zone, r.zone) {
		w.schedule(now+runnerDelay, func(now time.Duration) { q.holder.policy.failed(now, q) })
		return
	}
	q.made, q.left, q.hit = 0, 0, 0
	r.enqueue(q)
	w.step(now, r)
}

// step starts the next batch step of an idle runner.
func (w *world) step(now time.Duration, r *runner) {
	if r.stepping || !r.up {
		return
	}
	length := r.begin(now)
	if length == 0 {
		return
	}
	r.stepping = true
	generation := r.generation
	w.schedule(now+length, func(now time.Duration) {
		if r.generation == generation {
			w.stepped(now, r)
		}
	})
}

func (w *world) stepped(now time.Duration, r *runner) {
	r.stepping = false
	w.observeTokens(now, r)
	first, finished := r.end()
	for _, q := range first {
		w.firstToken(now, q)
	}
	for _, q := range finished {
		w.result.finished(now, q)
		w.load.finished(q)
		q.holder.policy.finished(now, q)
	}
	w.step(now, r)
}

func (w *world) firstToken(now time.Duration, q *request) {
	q.started = true
	q.firstAt = now + q.pathDelay + w.doc.Network.CallerDelay.Duration
	w.result.firstToken(now, q)
	q.holder.policy.firstToken(now, q)
}

// observeTokens tells each gateway the inter-token time of its requests on a runner.
func (w *world) observeTokens(now time.Duration, r *runner) {
	counts := map[*gateway]int{}
	for _, q := range r.batch {
		if q.left == 0 {
			counts[q.holder]++
		}
	}
	for g, count := range counts {
		g.policy.tokens(now, r, count, r.stepTime)
	}
}

// forward hands a request to a gateway of another availability zone.
func (w *world) forward(now time.Duration, g *gateway, q *request, to int) {
	q.hops = append(q.hops, router.Hop{Zone: w.zones[g.zone].name, VM: g.name})
	if w.zones[to].region != w.zones[q.entry].region {
		q.crossed = true
	}
	target := w.zones[to].gateways[q.number%len(w.zones[to].gateways)]
	d := w.delay(g.zone, to)
	q.pathDelay += d
	w.schedule(now+d, func(now time.Duration) {
		if w.reachable(g.zone, to) {
			target.policy.arrive(now, q)
			return
		}
		g.policy.failed(now, q)
	})
}

// refuse ends a request that was not run.
func (w *world) refuse(now time.Duration, q *request) {
	q.refused = true
	w.result.refused(now, q)
}

// crash ends a runner; the gateways learn of it when its connections break and when the VM list says so.
func (w *world) crash(now time.Duration, r *runner) {
	held := r.crash()
	u := r.upstream(w)
	for _, q := range held {
		w.schedule(now+runnerDelay, func(now time.Duration) { q.holder.policy.failed(now, q) })
	}
	w.schedule(now+detectionDelay, func(now time.Duration) {
		w.tell(now, r.zone, router.UpstreamRemoved{Upstream: u})
	})
}

func (w *world) restart(now time.Duration, r *runner) {
	r.restart()
	w.announce(now, r)
}

func (w *world) announce(now time.Duration, r *runner) {
	w.tell(now, r.zone, router.UpstreamAdded{Upstream: r.upstream(w), Models: w.pool.Models, BatchLimit: r.batchLimit})
}

// tell gives a message about a runner to all gateways that can reach it.
func (w *world) tell(now time.Duration, zone int, m router.Message) {
	w.eachGateway(func(g *gateway) {
		if w.reachable(g.zone, zone) {
			g.policy.message(now, m)
		}
	})
}

func (w *world) report(now time.Duration) {
	for _, r := range w.runners {
		if !r.up {
			continue
		}
		m := router.LoadReport{Upstream: r.upstream(w), At: epoch.Add(now), Running: len(r.batch), Waiting: len(r.waiting)}
		w.schedule(now+reportLag, func(now time.Duration) { w.tell(now, r.zone, m) })
	}
}

func (w *world) cacheEvents(now time.Duration) {
	for _, r := range w.runners {
		stored, removed := r.cache.changes()
		if !r.up || len(stored)+len(removed) == 0 {
			continue
		}
		r.sequence++
		if w.random.Float64() < cacheLoss {
			continue
		}
		m := router.CacheEvent{Upstream: r.upstream(w), Sequence: r.sequence, Stored: stored, Removed: removed}
		w.schedule(now+cacheLag, func(now time.Duration) { w.tell(now, r.zone, m) })
	}
}

// beat exchanges the aggregates of the availability zones.
func (w *world) beat(now time.Duration) {
	for from := range w.zones {
		reporter, ok := w.zones[from].gateways[0].policy.(zoneReporter)
		if !ok {
			return
		}
		report := reporter.zoneReport(now)
		for to := range w.zones {
			if from == to || !w.reachable(from, to) {
				continue
			}
			w.schedule(now+w.delay(from, to), func(now time.Duration) {
				for _, g := range w.zones[to].gateways {
					g.policy.message(now, report)
				}
			})
		}
	}
}

// beatPeers tells the gateways of each availability zone of each other's requests.
func (w *world) beatPeers(now time.Duration) {
	w.eachGateway(func(g *gateway) {
		reporter, ok := g.policy.(zoneReporter)
		if !ok {
			return
		}
		for _, m := range reporter.peerReports(now) {
			w.schedule(now+runnerDelay, func(now time.Duration) {
				for _, other := range w.zones[g.zone].gateways {
					if other != g {
						other.policy.message(now, m)
					}
				}
			})
		}
	})
}

// zoneReporter is a policy that states the load of its availability zone to others.
type zoneReporter interface {
	zoneReport(now time.Duration) router.ZoneReport
	peerReports(now time.Duration) []router.PeerLoad
}
