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
func (s *scheduler) judge(now time.Time, j *job) (isolator.Verdict, error) {
	if j.pool.Kind != parser.PoolEngine {
		return isolator.Verdict{Kind: isolator.VerdictUnrestricted}, nil
	}
	verdict := s.isolator.Evaluate(now, j.fingerprint)
	cause := classifier.CauseSuspectRequest
	switch verdict.Kind {
	case isolator.VerdictRefuse:
	case isolator.VerdictWait:
		cause = classifier.CauseSuspectTrial
	default:
		return verdict, nil
	}
	f := refuse("judge request", cause, "")
	f.retryAfter = verdict.RetryAfter
	return verdict, f
}

// isolate passes a message to the isolator and shares what follows from it.
func (s *scheduler) isolate(message isolator.Message) {
	effects := s.isolator.Step(s.config.now(), message)
	for _, effect := range effects {
		if finding, ok := effect.(isolator.Finding); ok && s.config.share != nil {
			s.config.share(finding)
		}
	}
}

// ended says that a request ended while its upstream lived.
func (s *scheduler) ended(j *job, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolate(isolator.Ended{RequestID: j.id, Complete: whole})
}

// crashed says that an upstream died with requests in flight.
func (s *scheduler) crashed(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolate(isolator.Crashed{Upstream: identity(u)})
}

// learn takes what another gateway found out; what follows from it is not shared again.
func (s *scheduler) learn(finding isolator.Finding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolator.Step(s.config.now(), isolator.PeerFinding{Finding: finding})
}

// learn takes a finding of another gateway. The upstreams that it names are dead, and a request sent to one of them would
// be suspected of crashing it.
func (g *gateway) learn(finding isolator.Finding) {
	g.scheduler.learn(finding)
	for _, lost := range finding.Lost {
		if known, ok := g.upstreams.find(lost.Name, lost.Incarnation); ok && lost.Zone == g.settings.Zone {
			g.noteSuspect(known)
		}
	}
}

// brokenKinds are the failures after which an upstream may have died.
var brokenKinds = map[classifier.Cause]bool{
	classifier.CauseNoResponse:        true,
	classifier.CauseAnswerTruncated:   true,
	classifier.CauseStreamInterrupted: true,
	classifier.CauseSilentConnection:  true,
}

// noteEnd tells a crash of the upstream from the failure of one request by a health check on a new connection.
func (g *gateway) noteEnd(j *job, u *upstream, f *failure) {
	if brokenKinds[f.kind] && !g.answersHealth(u) {
		g.scheduler.crashed(u)
		g.noteSuspect(u)
		return
	}
	g.scheduler.ended(j, false)
}

func (g *gateway) answersHealth(u *upstream) bool {
	_, status, err := g.get(context.Background(), u.client.single, u.address, "/health", "")
	return err == nil && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
}

// shareFinding tells all other gateways at once, because a caller may resend a request to any of them.
func (g *gateway) shareFinding(finding isolator.Finding) {
	env := g.environment.Load()
	if env == nil {
		return
	}
	g.work.Go(func() {
		beat := wireHeartbeat{From: g.members.beat(env.version), Findings: []wireFinding{encodeFinding(finding)}}
		for _, vm := range env.doc.VMs {
			g.work.Go(func() { g.sendHeartbeat(context.Background(), vm, beat) })
		}
	})
}
