package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/publisher"
	"sequoiaspread.example/sequoia/router"
)

const (
	// maxPollBytes bounds the memory that one polled document can take.
	maxPollBytes = 4 << 20
	// pollLimit bounds the health checks that run at the same time.
	pollLimit = 64

	metricRunning = "engine_requests_running"
	metricWaiting = "engine_requests_waiting"
)

// membershipEvent says what became known of an upstream.
type membershipEvent struct {
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Sign        string `json:"sign"`
}

// pollPlatform reads the list of VMs; when it cannot be read the last list is kept.
func (g *gateway) pollPlatform(ctx context.Context) {
	if !g.settings.PlatformAddress.IsValid() {
		return
	}
	client := g.peerClient(g.settings.PlatformAddress)
	text, status, err := g.get(ctx, client.shared, g.settings.PlatformAddress, "/v1/vms", "")
	if err != nil || status != http.StatusOK {
		return
	}
	var list struct {
		VMs []listedVM `json:"vms"`
	}
	if err := json.Unmarshal(text, &list); err != nil {
		g.log.WithError(err).Warn("list of VMs does not decode and is not used")
		return
	}
	g.takeList(list.VMs)
}

func (g *gateway) takeList(vms []listedVM) {
	change := g.upstreams.replace(vms)
	g.scheduler.changed(change)
	for _, removed := range change.removed {
		removed.client.dropIdle()
		g.publishMembership(removed, "gone", "list")
	}
	for _, added := range change.added {
		g.publishMembership(added, "seen", "list")
	}
	for _, leaving := range change.leaving {
		g.publishMembership(leaving, vmStateLeaving, "list")
	}
}

// pollUpstreams checks the health and reads the load of all upstreams.
func (g *gateway) pollUpstreams(ctx context.Context) {
	slots := make(chan struct{}, pollLimit)
	var checks sync.WaitGroup
	watchers := g.members.live(g.now(), g.settings.Zone)
	for _, known := range g.upstreams.all() {
		slots <- struct{}{}
		checks.Go(func() {
			defer func() { <-slots }()
			g.pollUpstream(ctx, known, g.watches(watchers, known))
		})
	}
	checks.Wait()
}

// pollUpstream reads each thing at its own interval, which bounds the bytes per second. Health and load are read by the
// gateway that watches the upstream, which tells the others of the availability zone.
func (g *gateway) pollUpstream(ctx context.Context, u *upstream, watched bool) {
	round := u.polls
	u.polls++
	engine := g.isEngine(u)
	if watched {
		g.checkHealth(ctx, u)
		u.noteObserved(g.now())
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

// checkHealth uses a new connection, so that it tells whether new connections work.
func (g *gateway) checkHealth(ctx context.Context, u *upstream) {
	text, status, err := g.get(ctx, u.client.single, u.address, "/health", "")
	if status == http.StatusServiceUnavailable && statesLeaving(text) {
		g.noteLeaving(u, "health")
		return
	}
	g.setHealthy(u, err == nil && status < http.StatusInternalServerError)
}

func (g *gateway) setHealthy(u *upstream, healthy bool) {
	if !u.setHealthy(healthy) {
		return
	}
	g.scheduler.tell(router.Suspect{Upstream: identity(u), Suspected: !healthy})
	state := "healthy"
	if !healthy {
		state = "suspect"
	}
	g.publishMembership(u, state, "health")
}

// noteSuspect takes a refused connection as a sign that the upstream may have failed; the next health check decides.
func (g *gateway) noteSuspect(u *upstream) {
	g.setHealthy(u, false)
}

// noteLeaving takes any sign that an upstream is leaving; it holds for this incarnation for good.
func (g *gateway) noteLeaving(u *upstream, sign string) {
	if !u.markLeaving() {
		return
	}
	g.scheduler.tell(router.Draining{Upstream: identity(u)})
	g.publishMembership(u, vmStateLeaving, sign)
}

func (g *gateway) publishMembership(u *upstream, state, sign string) {
	_ = publisher.Publish(g.events, publisher.TopicMembership, membershipEvent{Upstream: u.name, Incarnation: u.incarnation, State: state, Sign: sign})
}

// statesLeaving reads the statement of an upstream that refuses requests, in either of the forms that engines use.
func statesLeaving(text []byte) bool {
	var statement struct {
		State string `json:"state"`
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &statement) != nil {
		return false
	}
	return statement.State == vmStateLeaving || statement.Error.Code == vmStateLeaving
}

func (g *gateway) readLoad(ctx context.Context, u *upstream) {
	text, status, err := g.get(ctx, u.client.shared, u.address, "/metrics", "")
	if err != nil || status != http.StatusOK {
		return
	}
	running, waiting, err := parseLoad(text)
	if err != nil {
		return
	}
	now := g.now()
	u.noteLoad(now, running, waiting)
	g.scheduler.tell(router.LoadReport{Upstream: identity(u), At: now, Running: running, Waiting: waiting})
}

func (g *gateway) readCacheEvents(ctx context.Context, u *upstream) {
	text, status, err := g.get(ctx, u.client.shared, u.address, "/v1/cache-events", "after="+strconv.FormatUint(u.cacheSequence, 10))
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
	for _, each := range list.Events {
		message := router.CacheEvent{Upstream: identity(u), Sequence: each.Sequence}
		if each.Kind == "stored" {
			message.Stored = []router.Digest{each.Block}
		} else {
			message.Removed = []router.Digest{each.Block}
		}
		u.cacheSequence = max(u.cacheSequence, each.Sequence)
		g.scheduler.tell(message)
	}
}

func (g *gateway) get(ctx context.Context, transport *http.Transport, address netip.AddrPort, path, query string) ([]byte, int, error) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := requestURL(callRequest{address: address, path: path, query: query})
	request, err := http.NewRequestWithContext(limited, http.MethodGet, url.String(), nil)
	if err != nil {
		return nil, 0, eris.Wrap(err, "make request")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, 0, eris.Wrap(err, "poll")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPollBytes))
	return text, response.StatusCode, eris.Wrap(err, "read polled document")
}

// parseLoad reads the requests running and waiting from a metrics document.
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
