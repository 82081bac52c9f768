package main

import (
	"time"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
)

// routingModel returns the name by which the router finds upstreams for a request: its model, or the pool of a plain
// service.
func routingModel(pool parser.Pool, model string) string {
	if pool.Kind == parser.PoolPlain {
		return "pool/" + pool.Name
	}
	return model
}

func routingModels(pool parser.Pool) []string {
	if pool.Kind == parser.PoolPlain {
		return []string{routingModel(pool, "")}
	}
	return pool.Models
}

func identity(u *upstream) router.Upstream {
	return router.Upstream{Name: u.name, Zone: u.zone, Incarnation: u.incarnation}
}

func (s *scheduler) newRouterRequest(req *callerRequest, excluded []string) *router.Request {
	hops := make([]router.Hop, 0, len(req.hops))
	for _, h := range req.hops {
		hops = append(hops, router.Hop{Zone: h.zone, VM: h.vm})
	}
	zones := s.env.restrictor.AllowedZones(req.subject)
	if req.localOnly {
		zones = []string{s.config.zone}
	}
	return &router.Request{
		ID: req.id, Organisation: req.organisation.Name, Service: req.service.Name, Model: routingModel(req.pool, req.model), Rank: req.rank,
		PromptTokens: req.promptTokens, PromptBytes: len(req.body), Prefix: req.prefix,
		AllowedZones: zones, Hops: hops, Excluded: excluded,
	}
}

// route avoids the upstreams that have already failed the request, unless there are no others.
func (s *scheduler) route(now time.Time, request *router.Request) router.Choice {
	choice := s.router.Route(now, request)
	if choice.Kind != router.KindNone || len(request.Excluded) == 0 {
		return choice
	}
	request.Excluded = nil
	return s.router.Route(now, request)
}

// placement is the destination of the next attempt: an upstream or another availability zone.
type placement struct {
	upstream *upstream
	zone     string
}

// place chooses the destination of the next attempt of an admitted request. A request to an upstream is counted as
// sent.
func (s *scheduler) place(req *callerRequest, excluded []string) (placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.now()
	verdict, err := s.crashVerdict(now, req)
	if err != nil {
		return placement{}, err
	}
	if verdict.Kind == isolator.VerdictSameUpstream {
		return s.placeOnUpstream(now, req, router.Choice{Kind: router.KindUpstream, Upstream: verdict.Upstream}, false)
	}
	request := s.newRouterRequest(req, excluded)
	request.Exclusive = verdict.Kind == isolator.VerdictExclusive
	choice := s.route(now, request)
	switch choice.Kind {
	case router.KindForward:
		return placement{zone: choice.Zone}, nil
	case router.KindUpstream:
		return s.placeOnUpstream(now, req, choice, request.Exclusive)
	default:
		return placement{}, choiceFailure(choice)
	}
}

func (s *scheduler) placeOnUpstream(now time.Time, req *callerRequest, choice router.Choice, exclusive bool) (placement, error) {
	u, ok := s.upstreams[choice.Upstream.Name]
	if !ok || u.incarnation != choice.Upstream.Incarnation || !u.usable() {
		return placement{}, newRefusal("choose target", classifier.CauseNoUpstream, "")
	}
	s.router.Step(now, router.RequestSent{
		Upstream: choice.Upstream, RequestID: req.id, Class: estimator.Class{Service: req.service.Name, Rank: req.rank},
		PromptTokens: req.promptTokens, HitTokens: choice.Explanation.HitTokens,
	})
	if req.pool.Kind == parser.PoolEngine {
		s.stepIsolator(isolator.Started{RequestID: req.id, Fingerprint: req.fingerprint, Upstream: choice.Upstream, Exclusive: exclusive})
	}
	return placement{upstream: u, zone: u.zone}, nil
}

// forwardZone returns the availability zone to which a request must be forwarded because no local upstream can take it.
func (s *scheduler) forwardZone(req *callerRequest) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.router.Route(s.config.now(), s.newRouterRequest(req, nil))
	return choice.Zone, choice.Kind == router.KindForward
}

// recordResume counts a request that resumes at the same upstream.
func (s *scheduler) recordResume(req *callerRequest, t target) {
	s.notifyRouter(router.RequestSent{
		Upstream: identity(t.upstream), RequestID: req.id, Class: estimator.Class{Service: req.service.Name, Rank: req.rank},
		PromptTokens: req.promptTokens, HitTokens: req.promptTokens,
	})
}
