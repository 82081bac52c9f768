package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"sequoiaspread.example/sequoia/publisher"
)

// phase is a step in the life of a request.
type phase string

const (
	phaseAdmitted phase = "admitted"
	phaseSent     phase = "sent"
	phaseFirst    phase = "first-token"
	phaseFailed   phase = "attempt-failed"
	phaseEnded    phase = "ended"
)

// requestEvent is one step of one request. It holds no prompt, answer or key.
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
	// Forwarded is set at a gateway that serves a request for another one, which counts it.
	Forwarded bool `json:"forwarded,omitempty"`
}

// publish announces one step of a request.
func (g *gateway) publish(j *job, step phase, t target, f *failure) {
	now := g.now()
	event := requestEvent{
		RequestID: j.id, Trace: j.trace.traceID, Phase: step, At: now, Elapsed: now.Sub(j.received),
		Organisation: j.organisation.Name, Service: j.service.Name, Zone: t.zone, Target: t.vm,
		Model: j.model, Tokens: j.outputTokens, Forwarded: len(j.hops) > 0,
	}
	if j.service.Name != "" {
		event.Rank = j.rankOf().Name
	}
	if f != nil {
		event.Cause = string(f.kind)
		event.Outcome = string(f.outcome(j.standing))
	}
	select {
	case g.outbox <- event:
	default:
		g.dropped.Add(1)
	}
}

// outboxSize lets a burst of events wait; beyond it events are dropped and counted.
const outboxSize = 4096

// pump publishes the events of requests, which do not wait for the subscribers.
func (g *gateway) pump(ctx context.Context) error {
	for {
		select {
		case event := <-g.outbox:
			_ = publisher.Publish(g.events, publisher.TopicRequest, event)
		case <-ctx.Done():
			return nil
		}
	}
}

// follow subscribes metrics, logs and explanations to the events of this process.
func (g *gateway) follow(ctx context.Context, tasks *errgroup.Group) error {
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
	tasks.Go(func() error { return g.pump(ctx) })
	tasks.Go(func() error { return each(requests, g.takeRequest) })
	tasks.Go(func() error { return each(memberships, g.takeMembership) })
	tasks.Go(func() error { return each(configurations, g.takeConfiguration) })
	return nil
}

func each[T any](events <-chan T, take func(T)) error {
	for event := range events {
		take(event)
	}
	return nil
}

func (g *gateway) takeRequest(event requestEvent) {
	g.metrics.take(event)
	g.levels.take(event)
	g.explain.take(event)
	if event.Phase != phaseEnded {
		return
	}
	g.log.WithFields(logrus.Fields{
		"request-id": event.RequestID, "trace": event.Trace, "organisation": event.Organisation, "service": event.Service,
		"rank": event.Rank, "cause": event.Cause, "outcome": event.Outcome, "elapsed-ms": event.Elapsed.Milliseconds(),
	}).Info("request ended")
}

func (g *gateway) takeMembership(event membershipEvent) {
	g.log.WithFields(logrus.Fields{
		"upstream": event.Upstream, "incarnation": event.Incarnation, "state": event.State, "sign": event.Sign,
	}).Info("upstream changed")
}

func (g *gateway) takeConfiguration(event configurationEvent) {
	g.log.WithFields(logrus.Fields{"version": event.Version, "source": event.Source}).Info("configuration is in force")
}
