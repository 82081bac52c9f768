package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/retrier"
	"sequoiaspread.example/sequoia/router"
)

const (
	methodHeartbeat     = "heartbeat"
	methodConfiguration = "configuration"
)

// wireHeartbeat is sent to each gateway of the local availability zone and to one gateway of each other zone.
type wireHeartbeat struct {
	From memberStatus `json:"from"`
	// Zones holds summaries of availability zones: the sender's own zone if sent to other zones, the other zones if
	// sent to peers in the local zone.
	Zones      []wireZone      `json:"zones,omitempty"`
	Draining   []wireUpstream  `json:"leaving,omitempty"`
	Observed   []wireObserved  `json:"observed,omitempty"`
	LocalLoads []wireLocalLoad `json:"own,omitempty"`
	Findings   []wireFinding   `json:"findings,omitempty"`
	Requests   uint64          `json:"requests"`
	Retries    uint64          `json:"retries"`
}

// wireZone is the summary of one availability zone.
type wireZone struct {
	Zone       string          `json:"zone"`
	Region     string          `json:"region"`
	Age        time.Duration   `json:"age-nanoseconds"`
	Delay      time.Duration   `json:"delay-nanoseconds,omitempty"`
	Members    []memberStatus  `json:"rows"`
	Models     []wireModelLoad `json:"models"`
	direct     bool
	receivedAt time.Time
}

type wireModelLoad struct {
	Model       string          `json:"model"`
	Capacity    int             `json:"capacity"`
	Outstanding float64         `json:"outstanding"`
	Waits       []time.Duration `json:"waits-nanoseconds"`
}

type wireUpstream struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// wireLocalLoad is the number of requests that the sender has in flight on an upstream. Upstreams without any are
// omitted.
type wireLocalLoad struct {
	wireUpstream
	Requests int `json:"requests"`
}

type wireHeartbeatReply struct {
	From memberStatus `json:"from"`
}

// zoneTable holds the latest summary of each other availability zone, and the measured network delays to them.
type zoneTable struct {
	mu     sync.Mutex
	zones  map[string]wireZone
	delays map[string]time.Duration
	round  int
}

func newZoneTable() *zoneTable {
	return &zoneTable{zones: map[string]wireZone{}, delays: map[string]time.Duration{}}
}

func (t *zoneTable) store(summary wireZone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones[summary.Zone] = summary
}

// takeDirect returns the summaries that were received directly from their zone since the last round, for the peers in
// the local zone.
func (t *zoneTable) takeDirect(now time.Time) []wireZone {
	t.mu.Lock()
	defer t.mu.Unlock()
	var zones []wireZone
	for zone, summary := range t.zones {
		if !summary.direct {
			continue
		}
		summary.Age += now.Sub(summary.receivedAt)
		zones = append(zones, summary)
		stored := t.zones[zone]
		stored.direct = false
		t.zones[zone] = stored
	}
	return zones
}

func (t *zoneTable) setDelay(zone string, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delays[zone] = delay
}

func (t *zoneTable) delay(zone string, fallback time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if delay, ok := t.delays[zone]; ok {
		return delay
	}
	return fallback
}

// nextRound advances the round number, which selects a different gateway of each zone every time.
func (t *zoneTable) nextRound() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	return t.round
}

// sendHeartbeats sends one round of heartbeats and returns when all calls have completed or timed out.
func (g *gateway) sendHeartbeats(ctx context.Context) {
	env := g.environment.Load()
	if env == nil {
		return
	}
	now := g.now()
	status := g.members.nextStatus(env.version)
	toPeers := wireHeartbeat{From: status, Zones: g.zones.takeDirect(now), Draining: g.drainingUpstreams(), LocalLoads: g.scheduler.localLoads(g.upstreams.all())}
	toZones := wireHeartbeat{From: status, Zones: []wireZone{g.localZone(env)}}
	totals := g.scheduler.retryTotals()
	toPeers.Requests, toPeers.Retries = totals.Requests, totals.Retries
	round := g.zones.nextRound()
	if round%observationRounds == 0 {
		toPeers.Observed = g.watchedObservations(now)
	}
	var calls sync.WaitGroup
	for _, zone := range env.doc.Zones() {
		vms := env.zoneVMs(zone)
		if zone == g.settings.Zone {
			for _, vm := range vms {
				calls.Go(func() { g.sendHeartbeat(ctx, vm, toPeers) })
			}
			continue
		}
		if len(vms) > 0 {
			vm := vms[(round+g.indexInZone(env))%len(vms)]
			calls.Go(func() { g.sendHeartbeat(ctx, vm, toZones) })
		}
	}
	calls.Wait()
	g.refreshDirectory()
}

// indexInZone returns the position of this gateway in its zone. It distributes the gateways of one zone over those of
// another.
func (g *gateway) indexInZone(env *environment) int {
	for i, vm := range env.zoneVMs(g.settings.Zone) {
		if vm.Name == g.settings.VM {
			return i
		}
	}
	return 0
}

func (g *gateway) sendHeartbeat(ctx context.Context, vm parser.VM, heartbeat wireHeartbeat) {
	if vm.Name == g.settings.VM {
		return
	}
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var reply wireHeartbeatReply
	start := g.now()
	if err := g.pool.Client(vm.RPCAddress.AddrPort).Call(limited, methodHeartbeat, heartbeat, &reply); err != nil {
		return
	}
	g.zones.setDelay(vm.Zone, g.now().Sub(start)/2)
	g.updateMember(reply.From, vm)
}

// updateMember stores the status of another gateway, and fetches the configuration from it if its version is newer.
func (g *gateway) updateMember(status memberStatus, vm parser.VM) {
	g.members.update(g.now(), []memberStatus{status})
	if env := g.environment.Load(); env != nil && status.Version > env.version {
		g.config.fetchFromPeer(vm.RPCAddress.AddrPort)
	}
}

// localZone returns the summary of the local availability zone.
func (g *gateway) localZone(env *environment) wireZone {
	return wireZone{
		Zone: g.settings.Zone, Region: env.doc.RegionOf(g.settings.Zone),
		Members: g.members.zoneStatuses(g.now(), g.settings.Zone), Models: g.scheduler.modelLoads(),
	}
}

// applyPeerLoads passes the load of another gateway on every upstream to the router. It is zero for an upstream that
// the other gateway omitted.
func (g *gateway) applyPeerLoads(vm string, list []wireLocalLoad) {
	now := g.now()
	requests := map[wireUpstream]int{}
	for _, load := range list {
		requests[load.wireUpstream] = load.Requests
	}
	for _, u := range g.upstreams.all() {
		inFlight := requests[wireUpstream{Name: u.name, Incarnation: u.incarnation}]
		g.scheduler.notifyRouter(router.PeerLoad{Upstream: identity(u), VM: vm, At: now, InFlight: inFlight})
	}
}

func (g *gateway) drainingUpstreams() []wireUpstream {
	var draining []wireUpstream
	for _, u := range g.upstreams.all() {
		if u.isDraining() {
			draining = append(draining, wireUpstream{Name: u.name, Incarnation: u.incarnation})
		}
	}
	return draining
}

// rpcServer returns the server for calls from other gateways.
func (g *gateway) rpcServer() *messenger.Server {
	tlsConfig, _ := g.settings.TLS.Config()
	return messenger.NewServer(messenger.ServerConfig{
		Address: g.settings.RPCAddress, Handler: messenger.HandlerFunc(g.handleRPC), Logger: g.log, TLS: tlsConfig,
	})
}

func (g *gateway) handleRPC(_ context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodHeartbeat:
		heartbeat, err := messenger.Decode[wireHeartbeat](params)
		if err != nil {
			return nil, err
		}
		return g.handleHeartbeat(heartbeat), nil
	case methodConfiguration:
		return g.config.handleQuery(params)
	default:
		return nil, messenger.MethodNotFound(method)
	}
}

func (g *gateway) handleHeartbeat(heartbeat wireHeartbeat) wireHeartbeatReply {
	env := g.environment.Load()
	if env == nil {
		return wireHeartbeatReply{From: g.members.nextStatus(0)}
	}
	if vm, ok := env.doc.VM(heartbeat.From.VM); ok && vm.Zone == heartbeat.From.Zone {
		g.updateMember(heartbeat.From, vm)
	}
	for _, zone := range heartbeat.Zones {
		g.storeZone(env, zone, zone.Zone == heartbeat.From.Zone)
	}
	for _, item := range heartbeat.Draining {
		if u, ok := g.upstreams.find(item.Name, item.Incarnation); ok && heartbeat.From.Zone == g.settings.Zone {
			g.markDraining(u, "peer")
		}
	}
	for _, item := range heartbeat.Findings {
		if finding, ok := item.decode(); ok {
			g.handleFinding(finding)
		}
	}
	// A heartbeat with findings is sent outside the rounds and omits the loads, which must not be read as zero.
	if heartbeat.From.Zone == g.settings.Zone && len(heartbeat.Findings) == 0 {
		g.applyObservations(heartbeat.Observed)
		g.applyPeerLoads(heartbeat.From.VM, heartbeat.LocalLoads)
		g.scheduler.addFleetReport(retrier.FleetReport{VM: heartbeat.From.VM, Requests: heartbeat.Requests, Retries: heartbeat.Retries})
	}
	g.refreshDirectory()
	return wireHeartbeatReply{From: g.members.nextStatus(env.version)}
}

// storeZone stores the summary of another availability zone and passes it to the router.
func (g *gateway) storeZone(env *environment, zone wireZone, direct bool) {
	if zone.Zone == g.settings.Zone || env.doc.RegionOf(zone.Zone) == "" {
		return
	}
	now := g.now()
	g.members.update(now, zone.Members)
	zone.direct = direct
	zone.receivedAt = now
	g.zones.store(zone)
	fallback := env.doc.Network.RegionDelay.Duration
	if env.doc.RegionOf(zone.Zone) == env.doc.RegionOf(g.settings.Zone) {
		fallback = env.doc.Network.ZoneDelay.Duration
	}
	report := router.ZoneReport{
		Zone: zone.Zone, Region: env.doc.RegionOf(zone.Zone), At: now.Add(-zone.Age), Delay: g.zones.delay(zone.Zone, fallback),
	}
	for _, model := range zone.Models {
		report.Models = append(report.Models, router.ZoneLoad(model))
	}
	g.scheduler.notifyRouter(report)
}
