package main

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/parser"
)

// wireFinding is what a gateway learned about a request that may crash upstreams.
type wireFinding struct {
	Fingerprint string           `json:"fingerprint"`
	Lost        []wireIdentified `json:"lost"`
	Confirmed   bool             `json:"confirmed"`
	Cleared     bool             `json:"cleared"`
}

type wireIdentified struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

func encodeFinding(finding isolator.Finding) wireFinding {
	wire := wireFinding{Fingerprint: hex.EncodeToString(finding.Fingerprint[:]), Confirmed: finding.Confirmed, Cleared: finding.Cleared}
	for _, lost := range finding.Lost {
		wire.Lost = append(wire.Lost, wireIdentified(lost))
	}
	return wire
}

// decode returns false for a fingerprint that is not readable.
func (w wireFinding) decode() (isolator.Finding, bool) {
	finding := isolator.Finding{Confirmed: w.Confirmed, Cleared: w.Cleared}
	raw, err := hex.DecodeString(w.Fingerprint)
	if err != nil || len(raw) != len(finding.Fingerprint) {
		return finding, false
	}
	copy(finding.Fingerprint[:], raw)
	for _, lost := range w.Lost {
		finding.Lost = append(finding.Lost, isolator.Upstream(lost))
	}
	return finding, true
}

// judge says how a request may run now; calls of plain services have no fingerprint and are free.
func (s *scheduler) crashVerdict(now time.Time, req *callerRequest) (isolator.Verdict, error) {
	if req.pool.Kind != parser.PoolEngine {
		return isolator.Verdict{Kind: isolator.VerdictUnrestricted}, nil
	}
	verdict := s.isolator.Evaluate(now, req.fingerprint)
	cause := classifier.CauseSuspectRequest
	switch verdict.Kind {
	case isolator.VerdictRefuse:
	case isolator.VerdictWait:
		cause = classifier.CauseSuspectTrial
	default:
		return verdict, nil
	}
	f := newRefusal("judge request", cause, "")
	f.retryAfter = verdict.RetryAfter
	return verdict, f
}

// isolate passes a message to the isolator and shares what follows from it.
func (s *scheduler) stepIsolator(message isolator.Message) {
	effects := s.isolator.Step(s.config.now(), message)
	for _, effect := range effects {
		if finding, ok := effect.(isolator.Finding); ok && s.config.shareFinding != nil {
			s.config.shareFinding(finding)
		}
	}
}

// ended says that a request ended while its upstream lived.
func (s *scheduler) requestEnded(req *callerRequest, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepIsolator(isolator.Ended{RequestID: req.id, Complete: complete})
}

// crashed says that an upstream died with requests in flight.
func (s *scheduler) upstreamCrashed(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepIsolator(isolator.Crashed{Upstream: identity(u)})
}

// learn takes what another gateway found out; what follows from it is not shared again.
func (s *scheduler) applyPeerFinding(finding isolator.Finding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolator.Step(s.config.now(), isolator.PeerFinding{Finding: finding})
}

// learn takes a finding of another gateway. The upstreams that it names are dead, and a request sent to one of them would
// be suspected of crashing it.
func (g *gateway) handleFinding(finding isolator.Finding) {
	g.scheduler.applyPeerFinding(finding)
	for _, lost := range finding.Lost {
		if known, ok := g.upstreams.find(lost.Name, lost.Incarnation); ok && lost.Zone == g.settings.Zone {
			g.markSuspect(known)
		}
	}
}

// brokenKinds are the failures after which an upstream may have died.
var brokenCallCauses = map[classifier.Cause]bool{
	classifier.CauseNoResponse:        true,
	classifier.CauseAnswerTruncated:   true,
	classifier.CauseStreamInterrupted: true,
	classifier.CauseSilentConnection:  true,
}

// noteEnd tells a crash of the upstream from the failure of one request by a health check on a new connection.
func (g *gateway) handleBrokenCall(req *callerRequest, u *upstream, f *failure) {
	if brokenCallCauses[f.kind] && !g.passesHealthCheck(u) {
		g.scheduler.upstreamCrashed(u)
		g.markSuspect(u)
		return
	}
	g.scheduler.requestEnded(req, false)
}

func (g *gateway) passesHealthCheck(u *upstream) bool {
	_, status, err := g.httpGet(context.Background(), u.client.single, u.address, "/health", "")
	return err == nil && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
}

// shareFinding tells all other gateways at once, because a caller may resend a request to any of them.
func (g *gateway) shareFinding(finding isolator.Finding) {
	env := g.environment.Load()
	if env == nil {
		return
	}
	g.background.Go(func() {
		heartbeat := wireHeartbeat{From: g.members.nextStatus(env.version), Findings: []wireFinding{encodeFinding(finding)}}
		for _, vm := range env.doc.VMs {
			g.background.Go(func() { g.sendHeartbeat(context.Background(), vm, heartbeat) })
		}
	})
}
