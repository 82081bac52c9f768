package main

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/reporter"
	"sequoiaspread.example/sequoia/reportserver"
)

const (
	// reportInterval keeps the cost of reports far below the limit for control, and demand fresh enough for forecasts.
	reportInterval = 10 * time.Second
	// maxWaitingBuckets bounds the buckets kept while no controller can be reached: a day of a few services and ranks.
	maxWaitingBuckets = 4096
	// maxStartedRequests bounds the requests whose first token is remembered.
	maxStartedRequests = 10000
)

// callerCauses are failures that the caller alone caused, which say nothing about the service level.
var callerCauses = map[classifier.Cause]bool{
	classifier.CauseUnauthorised: true, classifier.CauseBodyTooLarge: true, classifier.CauseBodyIncomplete: true,
	classifier.CauseBodyTimeout: true, classifier.CauseInvalidJSON: true, classifier.CauseInvalidRequest: true,
	classifier.CauseUnknownModel: true, classifier.CauseUnknownService: true, classifier.CauseUnknownRank: true,
	classifier.CauseNotFound: true, classifier.CauseMethodNotAllowed: true, classifier.CauseKeyMissing: true,
	classifier.CauseKeyInvalid: true, classifier.CauseKeyConflict: true, classifier.CauseKeyExpired: true,
	// A resend while the first attempt is in progress; that attempt is counted.
	classifier.CauseKeyPending:          true,
	classifier.CauseCancelledBeforeSend: true, classifier.CauseCancelledAfterSend: true,
}

// serviceLevels counts requests that met their targets and the demand for models, and reports both to the controllers.
type serviceLevels struct {
	gateway *gateway

	mu       sync.Mutex
	reporter *reporter.Reporter
	first    map[string]time.Duration
	waiting  []reporter.Bucket
	tokens   map[string]int
	since    time.Time
}

func newServiceLevels(g *gateway) *serviceLevels {
	return &serviceLevels{
		gateway: g, reporter: reporter.New(reporter.Config{VM: g.settings.VM}),
		first: map[string]time.Duration{}, tokens: map[string]int{}, since: g.now(),
	}
}

func (s *serviceLevels) take(event requestEvent) {
	if event.Forwarded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch event.Phase {
	case phaseFirst:
		if len(s.first) < maxStartedRequests {
			s.first[event.RequestID] = event.Elapsed
		}
	case phaseEnded:
		s.takeEnd(event)
		delete(s.first, event.RequestID)
	}
}

func (s *serviceLevels) takeEnd(event requestEvent) {
	if event.Service == "" || callerCauses[classifier.Cause(event.Cause)] {
		return
	}
	if event.Model != "" {
		s.tokens[event.Model] += event.Tokens
	}
	environment := s.gateway.environment.Load()
	rank, ok := environment.doc.Rank(event.Rank)
	if !ok {
		return
	}
	first, streamed := s.first[event.RequestID]
	key := reporter.Key{Service: event.Service, Rank: event.Rank}
	good := event.Cause == "" && withinTargets(event, rank, first, streamed)
	s.keep(s.reporter.Observe(event.At, reporter.Event{Key: key, Good: good}))
}

// withinTargets compares a request with the targets of its rank. The first token of an answer that is not streamed is not
// seen, so the whole answer has the time of both targets together.
func withinTargets(event requestEvent, rank parser.Rank, first time.Duration, streamed bool) bool {
	if event.Model == "" {
		return true
	}
	interval := rank.TokenIntervalTarget.Duration
	if !streamed {
		return event.Elapsed <= rank.FirstTokenTarget.Duration+time.Duration(event.Tokens)*interval
	}
	if first > rank.FirstTokenTarget.Duration {
		return false
	}
	return event.Tokens < 2 || event.Elapsed-first <= time.Duration(event.Tokens-1)*interval
}

// keep appends buckets and drops the oldest ones over the limit; the report then shows the gap.
func (s *serviceLevels) keep(buckets []reporter.Bucket) {
	s.waiting = append(s.waiting, buckets...)
	if excess := len(s.waiting) - maxWaitingBuckets; excess > 0 {
		s.waiting = s.waiting[excess:]
	}
}

// send reports the completed buckets and the demand; buckets that no controller stored are sent again.
func (s *serviceLevels) send(ctx context.Context) {
	environment := s.gateway.environment.Load()
	if environment == nil {
		return
	}
	report := s.prepare(s.gateway.now())
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := reportserver.NewClient(s.gateway.pool, s.controllers(environment))
	if err := client.Append(ctx, report); err != nil {
		s.gateway.log.WithError(err).Debug("service levels could not be reported")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = s.waiting[min(len(report.Buckets), len(s.waiting)):]
}

func (s *serviceLevels) prepare(now time.Time) reportserver.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep(s.reporter.Tick(now))
	report := reportserver.Report{
		VM: s.gateway.settings.VM, Zone: s.gateway.settings.Zone,
		Buckets: append([]reporter.Bucket(nil), s.waiting...),
	}
	span := now.Sub(s.since).Seconds()
	for model, tokens := range s.tokens {
		if span > 0 {
			report.Demands = append(report.Demands, reportserver.Demand{Model: model, Rate: float64(tokens) / span})
		}
	}
	clear(s.tokens)
	s.since = now
	return report
}

// controllers returns those of the own availability zone, or the first of the settings when it has none.
func (s *serviceLevels) controllers(environment *environment) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range environment.zoneVMs(s.gateway.settings.Zone) {
		if vm.HasController() {
			addresses = append(addresses, vm.ControllerAddress.AddrPort)
		}
	}
	if len(addresses) == 0 && len(s.gateway.settings.Controllers) > 0 {
		addresses = s.gateway.settings.Controllers[:1]
	}
	return addresses
}
