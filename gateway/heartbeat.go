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

// wireHeartbeat is sent to the gateways of the own availability zone and to one gateway of each other one.
type wireHeartbeat struct {
	From memberRow `json:"from"`
	// Zones holds the sender's view of availability zones: of its own one for other zones, of the others for its peers.
	Zones    []wireZone     `json:"zones,omitempty"`
	Leaving  []wireUpstream `json:"leaving,omitempty"`
	Observed []wireObserved `json:"observed,omitempty"`
	Own      []wireOwn      `json:"own,omitempty"`
	Findings []wireFinding  `json:"findings,omitempty"`
	Requests uint64         `json:"requests"`
	Retries  uint64         `json:"retries"`
}

// wireZone is the aggregate of one availability zone.
type wireZone struct {
	Zone      string          `json:"zone"`
	Region    string          `json:"region"`
	Age       time.Duration   `json:"age-nanoseconds"`
	Delay     time.Duration   `json:"delay-nanoseconds,omitempty"`
	Rows      []memberRow     `json:"rows"`
	Models    []wireModelLoad `json:"models"`
	direct    bool
	heardFrom time.Time
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

// wireOwn is the number of requests that the sender has on an upstream; upstreams without any are not listed.
type wireOwn struct {
	wireUpstream
	Requests int `json:"requests"`
}

type wireHeartbeatReply struct {
	From memberRow `json:"from"`
}

// zoneViews holds the last aggregate of each other availability zone and the measured delays to them.
type zoneViews struct {
	mu     sync.Mutex
	views  map[string]wireZone
	delays map[string]time.Duration
	round  int
}

func newZoneViews() *zoneViews {
	return &zoneViews{views: map[string]wireZone{}, delays: map[string]time.Duration{}}
}

func (v *zoneViews) store(view wireZone) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[view.Zone] = view
}

// direct returns the views that were received from their own zone since the last round, to be passed to peers.
func (v *zoneViews) direct(now time.Time) []wireZone {
	v.mu.Lock()
	defer v.mu.Unlock()
	var views []wireZone
	for zone, view := range v.views {
		if !view.direct {
			continue
		}
		view.Age += now.Sub(view.heardFrom)
		views = append(views, view)
		known := v.views[zone]
		known.direct = false
		v.views[zone] = known
	}
	return views
}

func (v *zoneViews) setDelay(zone string, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delays[zone] = delay
}

func (v *zoneViews) delay(zone string, fallback time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delay, ok := v.delays[zone]; ok {
		return delay
	}
	return fallback
}

// nextRound counts the rounds, so that each one goes to another gateway of a zone.
func (v *zoneViews) nextRound() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.round++
	return v.round
}

// sendHeartbeats sends one round and returns when all calls have ended or timed out.
func (g *gateway) sendHeartbeats(ctx context.Context) {
	env := g.environment.Load()
	if env == nil {
		return
	}
	now := g.now()
	row := g.members.beat(env.version)
	toPeers := wireHeartbeat{From: row, Zones: g.zones.direct(now), Leaving: g.leavingUpstreams(), Own: g.scheduler.own(g.upstreams.all())}
	toZones := wireHeartbeat{From: row, Zones: []wireZone{g.ownZone(env)}}
	totals := g.scheduler.totals()
	toPeers.Requests, toPeers.Retries = totals.Requests, totals.Retries
	round := g.zones.nextRound()
	if round%observedRounds == 0 {
		toPeers.Observed = g.watchedUpstreams(now)
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

// indexInZone spreads the gateways of one zone over those of another one.
func (g *gateway) indexInZone(env *environment) int {
	for i, vm := range env.zoneVMs(g.settings.Zone) {
		if vm.Name == g.settings.VM {
			return i
		}
	}
	return 0
}

func (g *gateway) sendHeartbeat(ctx context.Context, vm parser.VM, beat wireHeartbeat) {
	if vm.Name == g.settings.VM {
		return
	}
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var reply wireHeartbeatReply
	start := g.now()
	if err := g.pool.Client(vm.RPCAddress.AddrPort).Call(limited, methodHeartbeat, beat, &reply); err != nil {
		return
	}
	g.zones.setDelay(vm.Zone, g.now().Sub(start)/2)
	g.hear(reply.From, vm)
}

// hear takes the row of another gateway and fetches the configuration from it when it is ahead.
func (g *gateway) hear(row memberRow, vm parser.VM) {
	g.members.take(g.now(), []memberRow{row})
	if env := g.environment.Load(); env != nil && row.Version > env.version {
		g.config.fetchFromPeer(vm.RPCAddress.AddrPort)
	}
}

// ownZone returns the aggregate of this availability zone.
func (g *gateway) ownZone(env *environment) wireZone {
	return wireZone{
		Zone: g.settings.Zone, Region: env.doc.RegionOf(g.settings.Zone),
		Rows: g.members.zoneRows(g.now(), g.settings.Zone), Models: g.scheduler.loads(),
	}
}

// takeOwn states to the router the requests of another gateway on every upstream; those that it did not list have none.
func (g *gateway) takeOwn(vm string, list []wireOwn) {
	now := g.now()
	requests := map[wireUpstream]int{}
	for _, each := range list {
		requests[each.wireUpstream] = each.Requests
	}
	for _, known := range g.upstreams.all() {
		own := requests[wireUpstream{Name: known.name, Incarnation: known.incarnation}]
		g.scheduler.tell(router.PeerLoad{Upstream: identity(known), VM: vm, At: now, InFlight: own})
	}
}

func (g *gateway) leavingUpstreams() []wireUpstream {
	var leaving []wireUpstream
	for _, known := range g.upstreams.all() {
		if known.isLeaving() {
			leaving = append(leaving, wireUpstream{Name: known.name, Incarnation: known.incarnation})
		}
	}
	return leaving
}

// rpcServer answers calls of other gateways.
func (g *gateway) rpcServer() *messenger.Server {
	secure, _ := g.settings.TLS.Config()
	return messenger.NewServer(messenger.ServerConfig{
		Address: g.settings.RPCAddress, Handler: messenger.HandlerFunc(g.handleCall), Logger: g.log, TLS: secure,
	})
}

func (g *gateway) handleCall(_ context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodHeartbeat:
		beat, err := messenger.Decode[wireHeartbeat](params)
		if err != nil {
			return nil, err
		}
		return g.takeHeartbeat(beat), nil
	case methodConfiguration:
		return g.config.answer(params)
	default:
		return nil, messenger.MethodNotFound(method)
	}
}

func (g *gateway) takeHeartbeat(beat wireHeartbeat) wireHeartbeatReply {
	env := g.environment.Load()
	if env == nil {
		return wireHeartbeatReply{From: g.members.beat(0)}
	}
	if vm, ok := env.doc.VM(beat.From.VM); ok && vm.Zone == beat.From.Zone {
		g.hear(beat.From, vm)
	}
	for _, zone := range beat.Zones {
		g.takeZone(env, zone, zone.Zone == beat.From.Zone)
	}
	for _, each := range beat.Leaving {
		if known, ok := g.upstreams.find(each.Name, each.Incarnation); ok && beat.From.Zone == g.settings.Zone {
			g.noteLeaving(known, "peer")
		}
	}
	for _, each := range beat.Findings {
		if finding, ok := each.decode(); ok {
			g.learn(finding)
		}
	}
	if beat.From.Zone == g.settings.Zone && len(beat.Findings) == 0 {
		g.takeObserved(beat.Observed)
		g.takeOwn(beat.From.VM, beat.Own)
		g.scheduler.takeFleet(retrier.FleetReport{VM: beat.From.VM, Requests: beat.Requests, Retries: beat.Retries})
	}
	g.refreshDirectory()
	return wireHeartbeatReply{From: g.members.beat(env.version)}
}

// takeZone stores the aggregate of another availability zone.
func (g *gateway) takeZone(env *environment, zone wireZone, direct bool) {
	if zone.Zone == g.settings.Zone || env.doc.RegionOf(zone.Zone) == "" {
		return
	}
	now := g.now()
	g.members.take(now, zone.Rows)
	zone.direct = direct
	zone.heardFrom = now
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
	g.scheduler.tell(report)
}
