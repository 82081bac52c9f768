package estimator

import (
	"slices"
	"time"
)

const (
	othersWeight       = 0.5  // weight of a new report in the moving average of other VMs' load
	slownessWeight     = 0.2  // weight of a new sample in the moving average of slowness
	decodeTokensWeight = 0.05 // weight of a new sample in the moving average of answer length
	sumDecay           = 0.99 // decay per report of the sums behind the ratio of other VMs' requests to local ones
	minLocalSum        = 5.0  // sum of local requests below which the ratio is not used
	maxRatioSkew       = 4.0  // bounds the ratio while this VM has few requests
	maxSlowness        = 50.0 // keeps one stalled answer from excluding an upstream for long
	idleSlownessDecay  = 0.97 // decay per tick towards 1 for an upstream without local requests
)

// Estimator holds the load estimates of one process for all upstreams. It is not safe for concurrent use.
type Estimator struct {
	config       Config
	upstreams    []upstreamState
	summaries    []summary // parallel to upstreams
	index        map[string]int
	requests     map[string]request
	decodeTokens map[Class]float64

	localSum  float64 // local requests in recent reports, decaying
	othersSum float64 // requests of other VMs in recent reports, decaying
}

// New returns an Estimator without upstreams.
func New(config Config) *Estimator {
	return &Estimator{
		config:       config.withDefaults(),
		index:        map[string]int{},
		requests:     map[string]request{},
		decodeTokens: map[Class]float64{},
	}
}

// Step applies a message. Messages about earlier incarnations are ignored.
func (e *Estimator) Step(now time.Time, m Message) {
	switch m := m.(type) {
	case UpstreamAdded:
		e.addUpstream(now, m)
	case LoadReport:
		e.applyReport(now, m)
	case RequestSent:
		e.recordSent(now, m)
	case FirstToken:
		e.recordFirstToken(now, m.RequestID)
	case RequestCompleted:
		e.recordCompleted(now, m)
	case RequestFailed:
		e.recordEnd(now, m.RequestID)
	case PeerLoad:
		e.applyPeerLoad(now, m)
	case UpstreamRemoved:
		e.removeUpstream(m.Upstream)
	}
}

// Tick decays the slowness of unused upstreams towards 1, so that they are selected again.
func (e *Estimator) Tick(now time.Time) {
	for i := range e.upstreams {
		state := &e.upstreams[i]
		if state.occupied && state.inFlight == 0 {
			state.slowness = 1 + (state.slowness-1)*idleSlownessDecay
		}
		e.updateSummary(now, i)
	}
}

func (e *Estimator) addUpstream(now time.Time, m UpstreamAdded) {
	i, ok := e.index[m.Upstream.Name]
	if !ok {
		i = e.freeIndex()
		e.index[m.Upstream.Name] = i
	}
	state := &e.upstreams[i]
	if state.occupied && state.upstream.Incarnation >= m.Upstream.Incarnation {
		state.batchLimit = m.BatchLimit
		return
	}
	if state.occupied {
		e.dropRequests(i)
	}
	*state = upstreamState{upstream: m.Upstream, occupied: true, batchLimit: m.BatchLimit, slowness: 1}
	e.updateSummary(now, i)
}

func (e *Estimator) freeIndex() int {
	for i := range e.upstreams {
		if !e.upstreams[i].occupied {
			return i
		}
	}
	e.upstreams = append(e.upstreams, upstreamState{})
	e.summaries = append(e.summaries, summary{})
	return len(e.upstreams) - 1
}

func (e *Estimator) removeUpstream(u Upstream) {
	i, ok := e.find(u)
	if !ok {
		return
	}
	e.dropRequests(i)
	e.upstreams[i] = upstreamState{}
	delete(e.index, u.Name)
}

func (e *Estimator) dropRequests(i int) {
	for id, req := range e.requests {
		if req.index == i {
			delete(e.requests, id)
		}
	}
}

func (e *Estimator) find(u Upstream) (int, bool) {
	i, ok := e.index[u.Name]
	if !ok || e.upstreams[i].upstream.Incarnation != u.Incarnation {
		return 0, false
	}
	return i, true
}

func (e *Estimator) applyReport(now time.Time, m LoadReport) {
	i, ok := e.find(m.Upstream)
	if !ok {
		return
	}
	state := &e.upstreams[i]
	if state.hasReport && !m.At.After(state.report.At) {
		return
	}
	local, sentSince := state.inFlightAt(m.At)
	others := max(float64(m.Running+m.Waiting-local), 0)
	if state.hasReport {
		others = state.others + (others-state.others)*othersWeight
	}
	e.localSum = e.localSum*sumDecay + float64(local)
	e.othersSum = e.othersSum*sumDecay + max(float64(m.Running+m.Waiting-local), 0)
	state.others = others
	state.sentSinceReport = sentSince
	state.report = m
	state.hasReport = true
	e.updateSummary(now, i)
}

// applyPeerLoad replaces the load reported by one VM and drops VMs that have not reported within ReportTimeout.
func (e *Estimator) applyPeerLoad(now time.Time, m PeerLoad) {
	i, ok := e.find(m.Upstream)
	if !ok {
		return
	}
	state := &e.upstreams[i]
	state.peers = slices.DeleteFunc(state.peers, func(p peerLoad) bool {
		return p.vm == m.VM || now.Sub(p.at) > e.config.ReportTimeout
	})
	state.peers = append(state.peers, peerLoad{vm: m.VM, at: m.At, inFlight: m.InFlight})
	state.peerInFlight = 0
	state.oldestPeerAt = m.At
	for _, p := range state.peers {
		state.peerInFlight += float64(p.inFlight)
		if p.at.Before(state.oldestPeerAt) {
			state.oldestPeerAt = p.at
		}
	}
	_, state.sentSincePeers = state.inFlightAt(state.oldestPeerAt)
	e.localSum = e.localSum*sumDecay + float64(state.inFlight)
	e.othersSum = e.othersSum*sumDecay + state.peerInFlight
	e.updateSummary(now, i)
}

func (e *Estimator) recordSent(now time.Time, m RequestSent) {
	i, ok := e.find(m.Upstream)
	if !ok {
		return
	}
	state := &e.upstreams[i]
	uncached := float64(max(m.PromptTokens-m.HitTokens, 0))
	expected := e.prefillTime(i, m.Class.Rank, uncached)
	e.requests[m.RequestID] = request{index: i, class: m.Class, sent: now, uncachedTokens: uncached, expectedFirstToken: expected}
	state.inFlight++
	state.sentSinceReport++
	state.sentSincePeers++
	state.prefillBacklog[backlogIndex(m.Class.Rank)] += uncached
	state.recordChange(now, 1)
	e.updateSummary(now, i)
}

func (e *Estimator) recordFirstToken(now time.Time, id string) {
	req, ok := e.requests[id]
	if !ok || req.hasFirstToken {
		return
	}
	state := &e.upstreams[req.index]
	e.markPrefilled(&req)
	ratio := min(now.Sub(req.sent).Seconds()/req.expectedFirstToken.Seconds(), maxSlowness)
	state.slowness += (ratio*state.slowness - state.slowness) * slownessWeight
	state.slowness = min(max(state.slowness, 1), maxSlowness)
	e.requests[id] = req
	e.updateSummary(now, req.index)
}

func (e *Estimator) markPrefilled(req *request) {
	state := &e.upstreams[req.index]
	rank := backlogIndex(req.class.Rank)
	state.prefillBacklog[rank] = max(state.prefillBacklog[rank]-req.uncachedTokens, 0)
	req.hasFirstToken = true
}

func (e *Estimator) recordCompleted(now time.Time, m RequestCompleted) {
	req, ok := e.requests[m.RequestID]
	if !ok {
		return
	}
	mean := e.DecodeTokens(req.class)
	e.decodeTokens[req.class] = mean + (float64(m.OutputTokens)-mean)*decodeTokensWeight
	e.recordEnd(now, m.RequestID)
}

func (e *Estimator) recordEnd(now time.Time, id string) {
	req, ok := e.requests[id]
	if !ok {
		return
	}
	delete(e.requests, id)
	if !req.hasFirstToken {
		e.markPrefilled(&req)
	}
	state := &e.upstreams[req.index]
	state.inFlight = max(state.inFlight-1, 0)
	state.recordChange(now, -1)
	e.updateSummary(now, req.index)
}
