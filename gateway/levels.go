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
	// reportInterval keeps the cost of reports far below the limit for control traffic, and the demand recent enough
	// for forecasts.
	reportInterval = 10 * time.Second
	// maxUnsentBuckets limits the buckets kept while no controller is reachable: one day for a few services and ranks.
	maxUnsentBuckets = 4096
	// maxFirstTokens limits the number of requests whose first-token time is kept.
	maxFirstTokens = 10000
)

// callerCauses are failures caused by the caller alone. They do not count towards the service level.
var callerCauses = map[classifier.Cause]bool{
	classifier.CauseUnauthorised: true, classifier.CauseBodyTooLarge: true, classifier.CauseBodyIncomplete: true,
	classifier.CauseBodyTimeout: true, classifier.CauseInvalidJSON: true, classifier.CauseInvalidRequest: true,
	classifier.CauseUnknownModel: true, classifier.CauseUnknownService: true, classifier.CauseUnknownRank: true,
	classifier.CauseNotFound: true, classifier.CauseMethodNotAllowed: true, classifier.CauseKeyMissing: true,
	classifier.CauseKeyInvalid: true, classifier.CauseKeyConflict: true, classifier.CauseKeyExpired: true,
	// The key was sent again while its first attempt is in progress. That attempt is counted.
	classifier.CauseKeyPending:          true,
	classifier.CauseCancelledBeforeSend: true, classifier.CauseCancelledAfterSend: true,
}

// serviceLevels counts the requests that met their targets and the demand for each model, and reports both to the
// controllers.
type serviceLevels struct {
	gateway *gateway

	mu            sync.Mutex
	reporter      *reporter.Reporter
	firstTokens   map[string]time.Duration
	unsentBuckets []reporter.Bucket
	outputTokens  map[string]int
	demandSince   time.Time
}

func newServiceLevels(g *gateway) *serviceLevels {
	return &serviceLevels{
		gateway: g, reporter: reporter.New(reporter.Config{VM: g.settings.VM}),
		firstTokens: map[string]time.Duration{}, outputTokens: map[string]int{}, demandSince: g.now(),
	}
}

func (s *serviceLevels) record(event requestEvent) {
	if event.Forwarded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch event.Phase {
	case phaseFirstToken:
		if len(s.firstTokens) < maxFirstTokens {
			s.firstTokens[event.RequestID] = event.Elapsed
		}
	case phaseEnded:
		s.recordEnd(event)
		delete(s.firstTokens, event.RequestID)
	}
}

func (s *serviceLevels) recordEnd(event requestEvent) {
	if event.Service == "" || callerCauses[classifier.Cause(event.Cause)] {
		return
	}
	if event.Model != "" {
		s.outputTokens[event.Model] += event.Tokens
	}
	env := s.gateway.environment.Load()
	rank, ok := env.doc.Rank(event.Rank)
	if !ok {
		return
	}
	first, streamed := s.firstTokens[event.RequestID]
	key := reporter.Key{Service: event.Service, Rank: event.Rank}
	good := event.Cause == "" && withinTargets(event, rank, first, streamed)
	s.appendBuckets(s.reporter.Observe(event.At, reporter.Event{Key: key, Good: good}))
}

// withinTargets reports whether a request met the targets of its rank. The first token of a response that isn't
// streamed cannot be observed, so the complete response may take the time of both targets together.
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

// appendBuckets appends buckets and drops the oldest ones over the limit. The report then has a gap.
func (s *serviceLevels) appendBuckets(buckets []reporter.Bucket) {
	s.unsentBuckets = append(s.unsentBuckets, buckets...)
	if excess := len(s.unsentBuckets) - maxUnsentBuckets; excess > 0 {
		s.unsentBuckets = s.unsentBuckets[excess:]
	}
}

// send reports the completed buckets and the demand. Buckets that no controller has stored are sent again.
func (s *serviceLevels) send(ctx context.Context) {
	env := s.gateway.environment.Load()
	if env == nil {
		return
	}
	report := s.buildReport(s.gateway.now())
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := reportserver.NewClient(s.gateway.pool, s.controllers(env))
	if err := client.Append(ctx, report); err != nil {
		s.gateway.log.WithError(err).Debug("service levels could not be reported")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsentBuckets = s.unsentBuckets[min(len(report.Buckets), len(s.unsentBuckets)):]
}

func (s *serviceLevels) buildReport(now time.Time) reportserver.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendBuckets(s.reporter.Tick(now))
	report := reportserver.Report{
		VM: s.gateway.settings.VM, Zone: s.gateway.settings.Zone,
		Buckets: append([]reporter.Bucket(nil), s.unsentBuckets...),
	}
	span := now.Sub(s.demandSince).Seconds()
	for model, tokens := range s.outputTokens {
		if span > 0 {
			report.Demands = append(report.Demands, reportserver.Demand{Model: model, Rate: float64(tokens) / span})
		}
	}
	clear(s.outputTokens)
	s.demandSince = now
	return report
}

// controllers returns the controllers of the local availability zone, or the first one of the settings if the zone has
// none.
func (s *serviceLevels) controllers(env *environment) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range env.zoneVMs(s.gateway.settings.Zone) {
		if vm.HasController() {
			addresses = append(addresses, vm.ControllerAddress.AddrPort)
		}
	}
	if len(addresses) == 0 && len(s.gateway.settings.Controllers) > 0 {
		addresses = s.gateway.settings.Controllers[:1]
	}
	return addresses
}
