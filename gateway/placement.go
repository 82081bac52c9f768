package main

import (
	"time"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
)

// modelOf names what a job needs of an upstream: its model, or the pool of a plain service.
func modelOf(pool parser.Pool, model string) string {
	if pool.Kind == parser.PoolPlain {
		return "pool/" + pool.Name
	}
	return model
}

func modelsOf(pool parser.Pool) []string {
	if pool.Kind == parser.PoolPlain {
		return []string{modelOf(pool, "")}
	}
	return pool.Models
}

func identity(u *upstream) router.Upstream {
	return router.Upstream{Name: u.name, Zone: u.zone, Incarnation: u.incarnation}
}

func (s *scheduler) request(j *job, excluded []string) *router.Request {
	hops := make([]router.Hop, 0, len(j.hops))
	for _, each := range j.hops {
		hops = append(hops, router.Hop{Zone: each.zone, VM: each.vm})
	}
	zones := s.env.restrictor.AllowedZones(j.subject)
	if j.localOnly {
		zones = []string{s.config.zone}
	}
	return &router.Request{
		ID: j.id, Organisation: j.organisation.Name, Service: j.service.Name, Model: modelOf(j.pool, j.model), Rank: j.rank,
		PromptTokens: j.promptTokens, PromptBytes: len(j.body), Prefix: j.prefix,
		AllowedZones: zones, Hops: hops, Excluded: excluded,
	}
}

// route avoids the upstreams that already failed the request as long as there are others.
func (s *scheduler) route(now time.Time, request *router.Request) router.Choice {
	choice := s.router.Route(now, request)
	if choice.Kind != router.KindNone || len(request.Excluded) == 0 {
		return choice
	}
	request.Excluded = nil
	return s.router.Route(now, request)
}

// placed is where the next attempt goes: an upstream, or another availability zone.
type placed struct {
	upstream *upstream
	zone     string
}

// place chooses where the next attempt of an admitted request goes, and counts it as sent.
func (s *scheduler) place(j *job, excluded []string) (placed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.now()
	verdict, err := s.judge(now, j)
	if err != nil {
		return placed{}, err
	}
	if verdict.Kind == isolator.VerdictSameUpstream {
		return s.placeUpstream(now, j, router.Choice{Kind: router.KindUpstream, Upstream: verdict.Upstream}, false)
	}
	request := s.request(j, excluded)
	request.Exclusive = verdict.Kind == isolator.VerdictExclusive
	choice := s.route(now, request)
	switch choice.Kind {
	case router.KindForward:
		return placed{zone: choice.Zone}, nil
	case router.KindUpstream:
		return s.placeUpstream(now, j, choice, request.Exclusive)
	default:
		return placed{}, refusedChoice(choice)
	}
}

func (s *scheduler) placeUpstream(now time.Time, j *job, choice router.Choice, alone bool) (placed, error) {
	known, ok := s.known[choice.Upstream.Name]
	if !ok || known.incarnation != choice.Upstream.Incarnation || !known.usable() {
		return placed{}, refuse("choose place", classifier.CauseNoUpstream, "")
	}
	s.router.Step(now, router.RequestSent{
		Upstream: choice.Upstream, RequestID: j.id, Class: estimator.Class{Service: j.service.Name, Rank: j.rank},
		PromptTokens: j.promptTokens, HitTokens: choice.Explanation.HitTokens,
	})
	if j.pool.Kind == parser.PoolEngine {
		s.isolate(isolator.Started{RequestID: j.id, Fingerprint: j.fingerprint, Upstream: choice.Upstream, Exclusive: alone})
	}
	return placed{upstream: known, zone: known.zone}, nil
}

// elsewhere returns the availability zone to which a request must go because no upstream here can take it.
func (s *scheduler) elsewhere(j *job) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.router.Route(s.config.now(), s.request(j, nil))
	return choice.Zone, choice.Kind == router.KindForward
}

// resend counts a request that continues at the same upstream.
func (s *scheduler) resend(j *job, t target) {
	s.tell(router.RequestSent{
		Upstream: identity(t.upstream), RequestID: j.id, Class: estimator.Class{Service: j.service.Name, Rank: j.rank},
		PromptTokens: j.promptTokens, HitTokens: j.promptTokens,
	})
}
