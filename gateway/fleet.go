package main

import (
	"math/rand/v2"
	"sequoiaspread.example/sequoia/retrier"
)

// countRequest counts a request in the retry budget.
func (s *scheduler) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Step(s.config.now(), retrier.Started{})
}

// decideRetry decides whether another attempt follows a failed one, and after which backoff.
func (s *scheduler) decideRetry(failed retrier.Failure) retrier.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Decide(s.config.now(), failed, rand.Float64())
}

// retryTotals returns the number of requests and retries of this process.
func (s *scheduler) retryTotals() retrier.Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Totals()
}

// localLoads returns the number of local requests on each upstream that has any.
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

// addFleetReport counts the requests and retries of another gateway in the retry budget of the fleet.
func (s *scheduler) addFleetReport(report retrier.FleetReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Step(s.config.now(), report)
}

// modelLoads returns the local load of each model, for the other availability zones.
func (s *scheduler) modelLoads() []wireModelLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.now()
	var loads []wireModelLoad
	for _, queue := range s.queues {
		for _, model := range routingModels(queue.pool) {
			slots, outstanding := s.router.Capacity(now, model)
			loads = append(loads, wireModelLoad{Model: model, Capacity: int(slots), Outstanding: outstanding, Waits: queue.admitter.ExpectedWaits(now)})
		}
	}
	return loads
}
