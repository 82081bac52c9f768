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
	runnerDelay      = 500 * time.Microsecond // one way, between a gateway and a runner of the same availability zone
	loadReportPeriod = time.Second
	loadReportDelay  = time.Second
	cacheEventPeriod = 200 * time.Millisecond
	cacheEventDelay  = 300 * time.Millisecond
	cacheEventLoss   = 0.02 // fraction of cache events
	packetLoss       = 0.001
	retransmitDelay  = 200 * time.Millisecond
	detectionDelay   = time.Second // until the gateways detect that a runner is down
	tickPeriod       = 50 * time.Millisecond
	heartbeatPeriod  = 500 * time.Millisecond
)

// zone is one availability zone of the simulation.
type zone struct {
	name        string
	region      string
	runners     []*runner
	gateways    []*gateway
	partitioned bool // no traffic to or from other availability zones
}

// gateway is one entry VM.
type gateway struct {
	zone   int
	name   string
	policy policy
}

// policy makes the routing and admission decisions of one gateway.
type policy interface {
	// arrived handles a request from a caller or from another gateway.
	arrived(now time.Duration, q *request)
	firstToken(now time.Duration, q *request)
	finished(now time.Duration, q *request)
	// failed handles a request whose runner crashed or was unreachable, or that could not be forwarded.
	failed(now time.Duration, q *request)
	// tokensGenerated handles the tokens that one batch step of a runner generated for requests of this gateway.
	tokensGenerated(now time.Duration, r *runner, count int, interval time.Duration)
	handleMessage(now time.Duration, m router.Message)
	tick(now time.Duration)
}

// simulation is the state of one run.
type simulation struct {
	doc          *parser.Document
	pool         parser.Pool
	model        string
	zones        []zone
	runners      []*runner
	random       *rand.Rand
	events       eventQueue
	lastSequence int
	result       *result
	requests     int
	load         *load
}

// newSimulation creates the gateways of a document, and spreads the runners of a pool over its availability zones.
func newSimulation(doc *parser.Document, pool parser.Pool, runners int, seed uint64, newPolicy func(*simulation, *gateway) policy) *simulation {
	sim := &simulation{doc: doc, pool: pool, model: pool.Models[0], random: rand.New(rand.NewPCG(seed, seed))}
	for _, name := range pool.Zones {
		sim.zones = append(sim.zones, zone{name: name, region: doc.RegionOf(name)})
	}
	for i := range runners {
		sim.addRunner(i, i%len(sim.zones))
	}
	for _, vm := range doc.VMs {
		sim.addGateway(vm)
	}
	sim.eachGateway(func(g *gateway) { g.policy = newPolicy(sim, g) })
	for _, r := range sim.runners {
		sim.announce(0, r)
	}
	sim.every(tickPeriod, func(now time.Duration) {
		sim.eachGateway(func(g *gateway) { g.policy.tick(now) })
	})
	sim.every(loadReportPeriod, sim.sendLoadReports)
	sim.every(cacheEventPeriod, sim.sendCacheEvents)
	sim.every(heartbeatPeriod, sim.exchangeZoneReports)
	sim.every(heartbeatPeriod, sim.exchangePeerLoads)
	return sim
}

func (sim *simulation) addRunner(index, zone int) {
	r := &runner{
		index:       index,
		zone:        zone,
		name:        fmt.Sprintf("%s-%d", sim.pool.Name, index+1),
		incarnation: 1,
		up:          true,
		slowdown:    1,
		batchLimit:  sim.pool.BatchLimit,
		cache:       newCache(cacheBlocks),
	}
	sim.runners = append(sim.runners, r)
	sim.zones[zone].runners = append(sim.zones[zone].runners, r)
}

func (sim *simulation) addGateway(vm parser.VM) {
	for i := range sim.zones {
		if sim.zones[i].name == vm.Zone {
			sim.zones[i].gateways = append(sim.zones[i].gateways, &gateway{zone: i, name: vm.Name})
		}
	}
}

func (sim *simulation) eachGateway(do func(*gateway)) {
	for i := range sim.zones {
		for _, g := range sim.zones[i].gateways {
			do(g)
		}
	}
}

// delay returns the one-way delay between two availability zones, plus the retransmission delay if the packet is lost.
func (sim *simulation) delay(from, to int) time.Duration {
	if from == to {
		return runnerDelay
	}
	d := sim.doc.Network.ZoneDelay.Duration
	if sim.zones[from].region != sim.zones[to].region {
		d = sim.doc.Network.RegionDelay.Duration
	}
	if sim.random.Float64() < packetLoss {
		d += retransmitDelay
	}
	return d
}

// reachable reports whether traffic passes between two availability zones.
func (sim *simulation) reachable(from, to int) bool {
	return from == to || (!sim.zones[from].partitioned && !sim.zones[to].partitioned)
}

// send sends a request from a gateway to a runner.
func (sim *simulation) send(now time.Duration, g *gateway, q *request, r *runner) {
	q.sender = g
	q.runner = r
	q.attempts++
	d := sim.delay(g.zone, r.zone)
	q.pathDelay += d
	if sim.zones[r.zone].region != sim.zones[q.entryZone].region {
		q.crossRegion = true
	}
	sim.schedule(now+d, func(now time.Duration) { sim.deliver(now, q, r) })
}

func (sim *simulation) deliver(now time.Duration, q *request, r *runner) {
	if !r.up || !sim.reachable(q.sender.zone, r.zone) {
		sim.schedule(now+runnerDelay, func(now time.Duration) { q.sender.policy.failed(now, q) })
		return
	}
	q.generatedTokens, q.prefillRemaining, q.hitTokens = 0, 0, 0
	r.enqueue(q)
	sim.startStep(now, r)
}

// startStep starts the next batch step of an idle runner.
func (sim *simulation) startStep(now time.Duration, r *runner) {
	if r.stepping || !r.up {
		return
	}
	duration := r.beginStep(now)
	if duration == 0 {
		return
	}
	r.stepping = true
	generation := r.generation
	sim.schedule(now+duration, func(now time.Duration) {
		if r.generation == generation {
			sim.finishStep(now, r)
		}
	})
}

func (sim *simulation) finishStep(now time.Duration, r *runner) {
	r.stepping = false
	sim.reportTokens(now, r)
	first, finished := r.endStep()
	for _, q := range first {
		sim.firstToken(now, q)
	}
	for _, q := range finished {
		sim.result.finished(now, q)
		sim.load.finished(q)
		q.sender.policy.finished(now, q)
	}
	sim.startStep(now, r)
}

func (sim *simulation) firstToken(now time.Duration, q *request) {
	q.started = true
	q.firstTokenAt = now + q.pathDelay + sim.doc.Network.CallerDelay.Duration
	sim.result.firstToken(now, q)
	q.sender.policy.firstToken(now, q)
}

// reportTokens reports the inter-token time of a runner to each gateway that has requests in its batch.
func (sim *simulation) reportTokens(now time.Duration, r *runner) {
	counts := map[*gateway]int{}
	for _, q := range r.batch {
		if q.prefillRemaining == 0 {
			counts[q.sender]++
		}
	}
	for g, count := range counts {
		g.policy.tokensGenerated(now, r, count, r.stepTime)
	}
}

// forward sends a request to a gateway of another availability zone.
func (sim *simulation) forward(now time.Duration, g *gateway, q *request, to int) {
	q.hops = append(q.hops, router.Hop{Zone: sim.zones[g.zone].name, VM: g.name})
	if sim.zones[to].region != sim.zones[q.entryZone].region {
		q.crossRegion = true
	}
	target := sim.zones[to].gateways[q.number%len(sim.zones[to].gateways)]
	d := sim.delay(g.zone, to)
	q.pathDelay += d
	sim.schedule(now+d, func(now time.Duration) {
		if sim.reachable(g.zone, to) {
			target.policy.arrived(now, q)
			return
		}
		g.policy.failed(now, q)
	})
}

// refuse ends a request without a response.
func (sim *simulation) refuse(now time.Duration, q *request) {
	q.refused = true
	sim.result.refused(now, q)
}

// crash takes a runner down; gateways see its connections break at once and its removal from the VM list later.
func (sim *simulation) crash(now time.Duration, r *runner) {
	interrupted := r.crash()
	u := r.upstream(sim)
	for _, q := range interrupted {
		sim.schedule(now+runnerDelay, func(now time.Duration) { q.sender.policy.failed(now, q) })
	}
	sim.schedule(now+detectionDelay, func(now time.Duration) {
		sim.broadcast(now, r.zone, router.UpstreamRemoved{Upstream: u})
	})
}

func (sim *simulation) restart(now time.Duration, r *runner) {
	r.restart()
	sim.announce(now, r)
}

func (sim *simulation) announce(now time.Duration, r *runner) {
	sim.broadcast(now, r.zone, router.UpstreamAdded{Upstream: r.upstream(sim), Models: sim.pool.Models, BatchLimit: r.batchLimit})
}

// broadcast sends a message about a runner to all gateways that can reach its availability zone.
func (sim *simulation) broadcast(now time.Duration, zone int, m router.Message) {
	sim.eachGateway(func(g *gateway) {
		if sim.reachable(g.zone, zone) {
			g.policy.handleMessage(now, m)
		}
	})
}

func (sim *simulation) sendLoadReports(now time.Duration) {
	for _, r := range sim.runners {
		if !r.up {
			continue
		}
		m := router.LoadReport{Upstream: r.upstream(sim), At: epoch.Add(now), Running: len(r.batch), Waiting: len(r.waiting)}
		sim.schedule(now+loadReportDelay, func(now time.Duration) { sim.broadcast(now, r.zone, m) })
	}
}

func (sim *simulation) sendCacheEvents(now time.Duration) {
	for _, r := range sim.runners {
		stored, removed := r.cache.takeChanges()
		if !r.up || len(stored)+len(removed) == 0 {
			continue
		}
		r.sequence++
		if sim.random.Float64() < cacheEventLoss {
			continue
		}
		m := router.CacheEvent{Upstream: r.upstream(sim), Sequence: r.sequence, Stored: stored, Removed: removed}
		sim.schedule(now+cacheEventDelay, func(now time.Duration) { sim.broadcast(now, r.zone, m) })
	}
}

// exchangeZoneReports sends the aggregated load of each availability zone to the others.
func (sim *simulation) exchangeZoneReports(now time.Duration) {
	for from := range sim.zones {
		reporter, ok := sim.zones[from].gateways[0].policy.(zoneReporter)
		if !ok {
			return
		}
		report := reporter.zoneReport(now)
		for to := range sim.zones {
			if from == to || !sim.reachable(from, to) {
				continue
			}
			sim.schedule(now+sim.delay(from, to), func(now time.Duration) {
				for _, g := range sim.zones[to].gateways {
					g.policy.handleMessage(now, report)
				}
			})
		}
	}
}

// exchangePeerLoads sends the in-flight requests of each gateway to the others of its availability zone.
func (sim *simulation) exchangePeerLoads(now time.Duration) {
	sim.eachGateway(func(g *gateway) {
		reporter, ok := g.policy.(zoneReporter)
		if !ok {
			return
		}
		for _, m := range reporter.peerReports(now) {
			sim.schedule(now+runnerDelay, func(now time.Duration) {
				for _, other := range sim.zones[g.zone].gateways {
					if other != g {
						other.policy.handleMessage(now, m)
					}
				}
			})
		}
	})
}

// zoneReporter is a policy that shares its load with other gateways.
type zoneReporter interface {
	zoneReport(now time.Duration) router.ZoneReport
	peerReports(now time.Duration) []router.PeerLoad
}
