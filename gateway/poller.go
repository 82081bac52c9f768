package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
	"sequoiaspread.example/sequoia/verifier"
)

const (
	// maxPollBytes limits the memory that one polled document uses.
	maxPollBytes = 4 << 20
	// maxConcurrentPolls limits the number of upstreams that are polled concurrently.
	maxConcurrentPolls = 64

	metricRunning = "engine_requests_running"
	metricWaiting = "engine_requests_waiting"
)

// pollPlatform reads the VM list. If that fails, the last list remains in use.
func (g *gateway) pollPlatform(ctx context.Context) {
	if !g.settings.PlatformAddress.IsValid() {
		return
	}
	client := g.peerClient(g.settings.PlatformAddress)
	text, status, err := g.httpGet(ctx, client.shared, g.settings.PlatformAddress, "/v1/vms", "")
	if err != nil || status != http.StatusOK {
		return
	}
	var list struct {
		VMs []listedVM `json:"vms"`
	}
	if err := json.Unmarshal(text, &list); err != nil {
		g.log.WithError(err).Warn("ignoring a VM list that cannot be decoded")
		return
	}
	g.applyVMList(list.VMs)
}

func (g *gateway) applyVMList(vms []listedVM) {
	change := g.upstreams.applyList(vms)
	g.scheduler.applyListChange(change)
	for _, removed := range change.removed {
		removed.client.closeIdle()
		g.publishMembership(removed, "gone", "list")
	}
	for _, added := range change.added {
		g.publishMembership(added, "seen", "list")
	}
	for _, draining := range change.draining {
		g.publishMembership(draining, vmStateLeaving, "list")
	}
}

// pollUpstreams runs one poll of each upstream and returns when all have completed or timed out.
func (g *gateway) pollUpstreams(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentPolls)
	var checks sync.WaitGroup
	peers := g.members.livePeers(g.now(), g.settings.Zone)
	for _, u := range g.upstreams.all() {
		slots <- struct{}{}
		checks.Go(func() {
			defer func() { <-slots }()
			g.pollUpstream(ctx, u, g.isWatcher(peers, u))
		})
	}
	checks.Wait()
}

// pollUpstream reads each kind of data at its own interval to limit the traffic. Only the watcher of the upstream reads
// health and load, and reports them to the other gateways of the availability zone.
func (g *gateway) pollUpstream(ctx context.Context, u *upstream, watched bool) {
	round := u.pollRounds
	u.pollRounds++
	engine := g.isEngine(u)
	if watched {
		g.checkHealth(ctx, u)
		u.recordObservation(g.now())
	}
	if !engine {
		return
	}
	if watched && round%int(loadInterval/healthInterval) == 0 {
		g.readLoad(ctx, u)
	}
	if round%int(modelsInterval/healthInterval) == 0 || !u.hasModels() {
		g.readModels(ctx, u)
	}
	if round%int(cacheInterval/healthInterval) == 0 {
		g.readCacheEvents(ctx, u)
	}
}

func (g *gateway) isEngine(u *upstream) bool {
	env := g.environment.Load()
	if env == nil {
		return false
	}
	pool, ok := env.doc.Pool(u.pool)
	return ok && pool.Kind == parser.PoolEngine
}

func (g *gateway) readLoad(ctx context.Context, u *upstream) {
	text, status, err := g.httpGet(ctx, u.client.shared, u.address, "/metrics", "")
	if err != nil || status != http.StatusOK {
		return
	}
	running, waiting, err := parseLoad(text)
	if err != nil {
		return
	}
	now := g.now()
	u.recordLoad(now, running, waiting)
	g.scheduler.notifyRouter(router.LoadReport{Upstream: identity(u), At: now, Running: running, Waiting: waiting})
}

func (g *gateway) readCacheEvents(ctx context.Context, u *upstream) {
	text, status, err := g.httpGet(ctx, u.client.shared, u.address, "/v1/cache-events", "after="+strconv.FormatUint(u.cacheSequence, 10))
	if err != nil || status != http.StatusOK {
		return
	}
	var list struct {
		Events []struct {
			Sequence uint64        `json:"sequence"`
			Kind     string        `json:"kind"`
			Block    router.Digest `json:"block"`
		} `json:"events"`
	}
	if json.Unmarshal(text, &list) != nil {
		return
	}
	for _, item := range list.Events {
		message := router.CacheEvent{Upstream: identity(u), Sequence: item.Sequence}
		if item.Kind == "stored" {
			message.Stored = []router.Digest{item.Block}
		} else {
			message.Removed = []router.Digest{item.Block}
		}
		u.cacheSequence = max(u.cacheSequence, item.Sequence)
		g.scheduler.notifyRouter(message)
	}
}

func (g *gateway) httpGet(ctx context.Context, transport http.RoundTripper, address netip.AddrPort, path, query string) ([]byte, int, error) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := requestURL(outgoingRequest{address: address, path: path, query: query})
	request, err := http.NewRequestWithContext(limited, http.MethodGet, url.String(), nil)
	if err != nil {
		return nil, 0, eris.Wrap(err, "create request")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, 0, eris.Wrap(err, "poll")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := verifier.ReadBody(response.Body, maxPollBytes)
	return text, response.StatusCode, eris.Wrap(err, "read polled document")
}

// parseLoad reads the number of running and waiting requests from a metrics document.
func parseLoad(text []byte) (running, waiting int, err error) {
	metricsParser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := metricsParser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return 0, 0, eris.Wrap(err, "parse metrics")
	}
	for name, to := range map[string]*int{metricRunning: &running, metricWaiting: &waiting} {
		family, ok := families[name]
		if !ok || len(family.GetMetric()) == 0 {
			return 0, 0, eris.Errorf("metric %s is missing", name)
		}
		*to = int(family.GetMetric()[0].GetGauge().GetValue())
	}
	return running, waiting, nil
}
