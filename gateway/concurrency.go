package main

import (
	"time"

	"sequoiaspread.example/sequoia/limiter"
	"sequoiaspread.example/sequoia/router"
)

// intervalMeter measures the mean interval between the tokens of one attempt. Only the time spent waiting for the
// upstream counts, so that a slow caller doesn't make its upstream look slow.
type intervalMeter struct {
	waited time.Duration
	count  int
	since  time.Time
}

// add counts one token and reports whether a limiter window has passed since the last report.
func (m *intervalMeter) add(now time.Time, waited time.Duration) bool {
	if m.since.IsZero() {
		m.since = now
	}
	m.waited += waited
	m.count++
	return now.Sub(m.since) >= limiter.Window
}

// reset returns the mean interval and the token count, and resets the meter.
func (m *intervalMeter) reset(now time.Time) (time.Duration, int) {
	count := m.count
	mean := m.waited / time.Duration(max(count, 1))
	*m = intervalMeter{since: now}
	return mean, count
}

// reportIntervals passes the token intervals since the last report to the limiter.
func (g *gateway) reportIntervals(u *upstream, meter *intervalMeter) {
	interval, count := meter.reset(g.now())
	if count == 0 {
		return
	}
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	g.scheduler.limiter.Step(g.now(), limiter.Tokens{Upstream: identity(u), Interval: interval, Count: count})
}

// updateLimits evaluates the upstreams and passes changed concurrency limits to the router.
func (s *scheduler) updateLimits(now time.Time) {
	for name, u := range s.upstreams {
		if load, ok := s.router.Estimator().Load(now, name); ok {
			s.limiter.Step(now, limiter.Load{Upstream: identity(u), Running: load.Outstanding})
		}
	}
	for _, effect := range s.limiter.Tick(now) {
		switch e := effect.(type) {
		case limiter.Changed:
			s.router.Step(now, router.ConcurrencyLimit{Upstream: e.Upstream, Limit: e.Limit})
		case limiter.Slow:
			s.router.Step(now, router.Suspect{Upstream: e.Upstream, Suspected: e.Avoid})
		}
	}
}

func (s *scheduler) limiterConfig() limiter.Config {
	topRank := s.env.doc.Ranks[0]
	return limiter.Config{Target: topRank.TokenIntervalTarget.Duration, Objective: topRank.Objective}
}
