package main

import (
	"math/rand/v2"
	"sequoiaspread.example/sequoia/retrier"
)

// started counts a request in the retry budget.
func (s *scheduler) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Step(s.config.now(), retrier.Started{})
}

// retry decides whether a failed attempt is followed by another one, and after which wait.
func (s *scheduler) decideRetry(failed retrier.Failure) retrier.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Decide(s.config.now(), failed, rand.Float64())
}

// totals returns the requests and retries of this process.
func (s *scheduler) retryTotals() retrier.Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Totals()
}

// own returns the own requests on the upstreams that have any.
func (s *scheduler) localLoads(upstreams []*upstream) []wireLocalLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.router == nil {
		return nil
	}
	var list []wireLocalLoad
	for _, u := range upstreams {
		if load, ok := s.router.Estimator().Load(s.config.now(), u.name); ok && load.InFlight > 0 {
			list = append(list, wireLocalLoad{wireUpstream: wireUpstream{Name: u.name, Incarnation: u.incarnation}, Requests: load.InFlight})
		}
	}
	return list
}

// takeFleet counts the requests and retries of another gateway in the budget of the fleet.
func (s *scheduler) addFleetReport(report retrier.FleetReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Step(s.config.now(), report)
}

// loads returns the state of each model here, for the reports to other availability zones.
func (s *scheduler) modelLoads() []wireModelLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.now()
	var loads []wireModelLoad
	for _, queue := range s.pools {
		for _, model := range routingModels(queue.pool) {
			slots, outstanding := s.router.Capacity(now, model)
			loads = append(loads, wireModelLoad{Model: model, Capacity: int(slots), Outstanding: outstanding, Waits: queue.admitter.ExpectedWaits(now)})
		}
	}
	return loads
}
