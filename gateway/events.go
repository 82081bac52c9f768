package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/sequoia/publisher"
)

// phase is a phase in the lifecycle of a request.
type phase string

const (
	phaseAdmitted      phase = "admitted"
	phaseSent          phase = "sent"
	phaseFirstToken    phase = "first-token"
	phaseAttemptFailed phase = "attempt-failed"
	phaseEnded         phase = "ended"
)

// requestEvent reports one phase of one request. It contains no prompt, response body or key.
type requestEvent struct {
	RequestID    string        `json:"request-id"`
	Trace        string        `json:"trace"`
	Phase        phase         `json:"phase"`
	At           time.Time     `json:"at"`
	Elapsed      time.Duration `json:"elapsed-nanoseconds"`
	Organisation string        `json:"organisation,omitempty"`
	Service      string        `json:"service,omitempty"`
	Rank         string        `json:"rank,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	Target       string        `json:"target,omitempty"`
	Cause        string        `json:"cause,omitempty"`
	Outcome      string        `json:"outcome,omitempty"`
	Model        string        `json:"model,omitempty"`
	Tokens       int           `json:"tokens,omitempty"`
	// Forwarded is set on a gateway that serves a request for another gateway. That other gateway counts it.
	Forwarded bool `json:"forwarded,omitempty"`
}

// publish queues the event for one phase of a request. It drops the event if the queue is full.
func (g *gateway) publish(req *callerRequest, requestPhase phase, t target, f *failure) {
	now := g.now()
	event := requestEvent{
		RequestID: req.id, Trace: req.trace.traceID, Phase: requestPhase, At: now, Elapsed: now.Sub(req.received),
		Organisation: req.organisation.Name, Service: req.service.Name, Zone: t.zone, Target: t.vm,
		Model: req.model, Tokens: req.outputTokens, Forwarded: len(req.hops) > 0,
	}
	if req.service.Name != "" {
		event.Rank = req.declaredRank().Name
	}
	if f != nil {
		event.Cause = string(f.kind)
		event.Outcome = string(f.outcome(req.keyStatus))
	}
	select {
	case g.eventQueue <- event:
	default:
		g.droppedEvents.Add(1)
	}
}

// eventQueueSize absorbs a burst of events. When the queue is full, events are dropped and counted.
const eventQueueSize = 4096

// publishQueued publishes the queued events, so that requests don't wait for subscribers.
func (g *gateway) publishQueued(ctx context.Context) error {
	for {
		select {
		case event := <-g.eventQueue:
			_ = publisher.Publish(g.events, publisher.TopicRequest, event)
		case <-ctx.Done():
			return nil
		}
	}
}

// subscribe connects metrics, service levels, the explain log and the logger to the events of this process.
func (g *gateway) subscribe(ctx context.Context, tasks *errgroup.Group) error {
	requests, err := publisher.Subscribe[requestEvent](ctx, g.events, publisher.TopicRequest)
	if err != nil {
		return err
	}
	memberships, err := publisher.Subscribe[membershipEvent](ctx, g.events, publisher.TopicMembership)
	if err != nil {
		return err
	}
	configurations, err := publisher.Subscribe[configurationEvent](ctx, g.events, publisher.TopicConfiguration)
	if err != nil {
		return err
	}
	tasks.Go(func() error { return g.publishQueued(ctx) })
	tasks.Go(func() error { return forEach(requests, g.handleRequestEvent) })
	tasks.Go(func() error { return forEach(memberships, g.handleMembershipEvent) })
	tasks.Go(func() error { return forEach(configurations, g.handleConfigurationEvent) })
	return nil
}

func forEach[T any](events <-chan T, handle func(T)) error {
	for event := range events {
		handle(event)
	}
	return nil
}

func (g *gateway) handleRequestEvent(event requestEvent) {
	g.metrics.record(event)
	g.levels.record(event)
	g.explain.record(event)
	if event.Phase != phaseEnded {
		return
	}
	g.log.WithFields(logrus.Fields{
		"request-id": event.RequestID, "trace": event.Trace, "organisation": event.Organisation, "service": event.Service,
		"rank": event.Rank, "cause": event.Cause, "outcome": event.Outcome, "elapsed-ms": event.Elapsed.Milliseconds(),
	}).Info("request ended")
}

func (g *gateway) handleMembershipEvent(event membershipEvent) {
	g.log.WithFields(logrus.Fields{
		"upstream": event.Upstream, "incarnation": event.Incarnation, "state": event.State, "sign": event.Source,
	}).Info("upstream changed")
}

func (g *gateway) handleConfigurationEvent(event configurationEvent) {
	g.log.WithFields(logrus.Fields{"version": event.Version, "source": event.Source}).Info("configuration applied")
}
