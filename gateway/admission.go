package main

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"sequoiaspread.example/sequoia/admitter"
	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/estimator"
	"sequoiaspread.example/sequoia/isolator"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/router"
)

// poolQueue is the admission of one pool under one configuration.
type poolQueue struct {
	pool     parser.Pool
	admitter *admitter.Admitter
	waiting  map[string]chan admitter.Effect
	admitted int
}

// ticket is the admission of one request; it is released once.
type ticket struct {
	queue   *poolQueue
	id      string
	forward string
	waited  time.Duration
}

func (s *scheduler) admitterConfig() admitter.Config {
	weights := map[string]float64{}
	for _, organisation := range s.env.doc.Organisations {
		weights[organisation.Name] = organisation.Weight
	}
	return admitter.Config{Ranks: s.env.doc.Ranks, Weights: weights}
}

func (s *scheduler) allQueues() []*poolQueue {
	queues := append([]*poolQueue(nil), s.retired...)
	for _, queue := range s.pools {
		queues = append(queues, queue)
	}
	return queues
}

func keepBusy(queues []*poolQueue) []*poolQueue {
	var busy []*poolQueue
	for _, queue := range queues {
		if len(queue.waiting) > 0 || queue.admitted > 0 {
			busy = append(busy, queue)
		}
	}
	return busy
}

// refresh tells each queue the capacity that its upstreams have now.
func (s *scheduler) refresh(now time.Time) {
	if s.router == nil {
		return
	}
	for _, queue := range s.allQueues() {
		slots, outstanding := s.router.Capacity(now, modelsOf(queue.pool)[0])
		others := max(0, outstanding-float64(queue.admitted))
		queue.perform(queue.admitter.Step(now, admitter.Capacity{Slots: slots, PeerInFlight: others, Senders: len(s.env.zoneVMs(s.config.zone))}))
	}
}

// perform hands decisions to the requests that wait for them.
func (q *poolQueue) perform(effects []admitter.Effect) {
	for _, effect := range effects {
		waiter, ok := q.waiting[effect.Request()]
		if !ok {
			continue
		}
		delete(q.waiting, effect.Request())
		if _, ok := effect.(admitter.Admit); ok {
			q.admitted++
		}
		waiter <- effect
	}
}

// enter waits until a request may run. The error is a failure of a request that was not run.
func (s *scheduler) enter(ctx context.Context, j *job, excluded []string) (*ticket, error) {
	t, waiter, err := s.offer(j, excluded)
	if err != nil || waiter == nil {
		return t, err
	}
	select {
	case effect := <-waiter:
		return t.decided(effect)
	case <-ctx.Done():
		s.withdraw(t, waiter)
		return nil, newFailure("wait for admission", causeOfEnd(ctx), context.Cause(ctx))
	}
}

// causeOfEnd names why a request ended before anything was sent for it.
func causeOfEnd(ctx context.Context) classifier.Cause {
	if eris.Is(context.Cause(ctx), errTimedOut) {
		return classifier.CauseWaitExceeded
	}
	return classifier.CauseOf(classifier.FailedCall{
		ResidencyWithdrawn: eris.Is(context.Cause(ctx), errWithdrawn),
		CallerGone:         true,
	})
}

func (s *scheduler) offer(j *job, excluded []string) (*ticket, chan admitter.Effect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.pools[j.pool.Name]
	if !ok {
		return nil, nil, refuse("find pool", classifier.CauseUnknownService, "")
	}
	now := s.config.now()
	verdict, err := s.judge(now, j)
	if err != nil {
		return nil, nil, err
	}
	request := s.request(j, excluded)
	request.Exclusive = verdict.Kind == isolator.VerdictExclusive
	request.LocalWait = queue.admitter.ExpectedWait(now, j.rank, j.organisation.Name)
	choice := s.route(now, request)
	t := &ticket{queue: queue, id: j.id}
	switch choice.Kind {
	case router.KindForward:
		t.forward = choice.Zone
		t.queue = nil
		return t, nil, nil
	case router.KindNone:
		return nil, nil, refusedChoice(choice)
	}
	waiter := make(chan admitter.Effect, 1)
	queue.waiting[j.id] = waiter
	class := estimator.Class{Service: j.service.Name, Rank: j.rank}
	work := s.router.Estimator().Work(class, j.promptTokens, choice.Explanation.HitTokens)
	queue.perform(queue.admitter.Step(now, admitter.AdmissionRequest{
		RequestID: j.id, Organisation: j.organisation.Name, Rank: j.rank, Work: work,
		FirstToken: choice.Explanation.Prefill + s.env.doc.Network.CallerDelay.Duration,
	}))
	return t, waiter, nil
}

func (t *ticket) decided(effect admitter.Effect) (*ticket, error) {
	switch decision := effect.(type) {
	case admitter.Admit:
		t.waited = decision.Waited
		return t, nil
	case admitter.Refuse:
		f := refuse("admit request", refusalCauses[decision.Reason], "")
		f.retryAfter = decision.RetryAfter
		return nil, f
	default:
		return nil, newFailure("admit request", classifier.CauseInternal, eris.New("decision is not known"))
	}
}

var refusalCauses = map[admitter.Reason]classifier.Cause{
	admitter.ReasonTargetUnreachable: classifier.CauseWaitExceeded,
	admitter.ReasonQueueFull:         classifier.CauseQueueFull,
	admitter.ReasonWaitedTooLong:     classifier.CauseWaitExceeded,
	admitter.ReasonUnknownRank:       classifier.CauseUnknownRank,
	admitter.ReasonNoCapacity:        classifier.CauseNoUpstream,
}

func refusedChoice(choice router.Choice) error {
	cause := classifier.CauseNoUpstream
	if choice.Reason == router.ReasonHopLimit {
		cause = classifier.CauseHopLimit
	}
	f := refuse("choose place", cause, string(choice.Reason))
	f.retryAfter = choice.RetryAfter
	return f
}

func (s *scheduler) withdraw(t *ticket, waiter chan admitter.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := t.queue.waiting[t.id]; waits {
		delete(t.queue.waiting, t.id)
		t.queue.perform(t.queue.admitter.Step(s.config.now(), admitter.Cancel{RequestID: t.id}))
		return
	}
	if _, admitted := (<-waiter).(admitter.Admit); admitted {
		s.done(t)
	}
}

// release ends the admission of a request.
func (s *scheduler) release(t *ticket) {
	if t == nil || t.queue == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done(t)
}

func (s *scheduler) done(t *ticket) {
	t.queue.admitted--
	t.queue.perform(t.queue.admitter.Step(s.config.now(), admitter.Done{RequestID: t.id}))
}
