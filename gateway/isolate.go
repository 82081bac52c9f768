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

// wireFinding is the result of a gateway's crash tracking for one request fingerprint.
type wireFinding struct {
	Fingerprint string             `json:"fingerprint"`
	Lost        []wireLostUpstream `json:"lost"`
	Confirmed   bool               `json:"confirmed"`
	Cleared     bool               `json:"cleared"`
}

type wireLostUpstream struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

func encodeFinding(finding isolator.Finding) wireFinding {
	wire := wireFinding{Fingerprint: hex.EncodeToString(finding.Fingerprint[:]), Confirmed: finding.Confirmed, Cleared: finding.Cleared}
	for _, lost := range finding.Lost {
		wire.Lost = append(wire.Lost, wireLostUpstream(lost))
	}
	return wire
}

// decode returns false if the fingerprint is malformed.
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

// crashVerdict returns how a request may run now, given the crashes that it is suspected of. A non-nil error means that
// it must not run now. Calls of plain services have no fingerprint and are unrestricted.
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
	f := newRefusal("evaluate crash risk", cause, "")
	f.retryAfter = verdict.RetryAfter
	return verdict, f
}

// stepIsolator passes a message to the isolator and shares the resulting findings with the other gateways.
func (s *scheduler) stepIsolator(message isolator.Message) {
	effects := s.isolator.Step(s.config.now(), message)
	for _, effect := range effects {
		if finding, ok := effect.(isolator.Finding); ok && s.config.shareFinding != nil {
			s.config.shareFinding(finding)
		}
	}
}

// requestEnded reports that a request ended without a crash of its upstream.
func (s *scheduler) requestEnded(req *callerRequest, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepIsolator(isolator.Ended{RequestID: req.id, Complete: complete})
}

// upstreamCrashed reports that an upstream crashed with requests in flight.
func (s *scheduler) upstreamCrashed(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepIsolator(isolator.Crashed{Upstream: identity(u)})
}

// applyPeerFinding passes a finding of another gateway to the isolator. The resulting findings are not shared again.
func (s *scheduler) applyPeerFinding(finding isolator.Finding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolator.Step(s.config.now(), isolator.PeerFinding{Finding: finding})
}

// handleFinding processes a finding of another gateway. The upstreams that it names have crashed: a request sent to one
// of them would be suspected of causing the crash.
func (g *gateway) handleFinding(finding isolator.Finding) {
	g.scheduler.applyPeerFinding(finding)
	for _, lost := range finding.Lost {
		if u, ok := g.upstreams.find(lost.Name, lost.Incarnation); ok && lost.Zone == g.settings.Zone {
			g.markSuspect(u)
		}
	}
}

// brokenCallCauses are the failures after which an upstream may have crashed.
var brokenCallCauses = map[classifier.Cause]bool{
	classifier.CauseNoResponse:        true,
	classifier.CauseAnswerTruncated:   true,
	classifier.CauseStreamInterrupted: true,
	classifier.CauseSilentConnection:  true,
}

// handleBrokenCall distinguishes a crash of the upstream from the failure of a single request by a health check on a
// new connection.
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

// shareFinding sends a finding to all other gateways immediately, because a caller may resend a request to any of them.
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
