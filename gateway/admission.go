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

// poolQueue is the admission queue of one pool, for one configuration.
type poolQueue struct {
	pool     parser.Pool
	admitter *admitter.Admitter
	waiters  map[string]chan admitter.Effect
	admitted int
}

// admission is the admission of one request. It must be released exactly once.
type admission struct {
	queue       *poolQueue
	id          string
	forwardZone string
	waited      time.Duration
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
	for _, queue := range s.queues {
		queues = append(queues, queue)
	}
	return queues
}

func busyQueues(queues []*poolQueue) []*poolQueue {
	var busy []*poolQueue
	for _, queue := range queues {
		if len(queue.waiters) > 0 || queue.admitted > 0 {
			busy = append(busy, queue)
		}
	}
	return busy
}

// refreshCapacity passes the current capacity of the upstreams to each queue.
func (s *scheduler) refreshCapacity(now time.Time) {
	if s.router == nil {
		return
	}
	for _, queue := range s.allQueues() {
		slots, outstanding := s.router.Capacity(now, routingModels(queue.pool)[0])
		peerInFlight := max(0, outstanding-float64(queue.admitted))
		queue.applyEffects(queue.admitter.Step(now, admitter.Capacity{Slots: slots, PeerInFlight: peerInFlight, Senders: len(s.env.zoneVMs(s.config.zone))}))
	}
}

// applyEffects delivers decisions to the requests that wait for them.
func (q *poolQueue) applyEffects(effects []admitter.Effect) {
	for _, effect := range effects {
		waiter, ok := q.waiters[effect.Request()]
		if !ok {
			continue
		}
		delete(q.waiters, effect.Request())
		if _, ok := effect.(admitter.Admit); ok {
			q.admitted++
		}
		waiter <- effect
	}
}

// admit blocks until a request may run. A non-nil error means that the request was not run.
func (s *scheduler) admit(ctx context.Context, req *callerRequest, excluded []string) (*admission, error) {
	adm, waiter, err := s.enqueue(req, excluded)
	if err != nil || waiter == nil {
		return adm, err
	}
	select {
	case effect := <-waiter:
		return adm.resolve(effect)
	case <-ctx.Done():
		s.cancelAdmission(adm, waiter)
		return nil, newFailure("wait for admission", cancellationCause(ctx), context.Cause(ctx))
	}
}

// cancellationCause returns the cause for a request whose context ended before anything was sent.
func cancellationCause(ctx context.Context) classifier.Cause {
	if eris.Is(context.Cause(ctx), errTimedOut) {
		return classifier.CauseWaitExceeded
	}
	return classifier.CauseOf(classifier.FailedCall{
		ResidencyWithdrawn: eris.Is(context.Cause(ctx), errResidencyWithdrawn),
		CallerCancelled:    true,
	})
}

func (s *scheduler) enqueue(req *callerRequest, excluded []string) (*admission, chan admitter.Effect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[req.pool.Name]
	if !ok {
		return nil, nil, newRefusal("find pool", classifier.CauseUnknownService, "")
	}
	now := s.config.now()
	verdict, err := s.crashVerdict(now, req)
	if err != nil {
		return nil, nil, err
	}
	request := s.newRouterRequest(req, excluded)
	request.Exclusive = verdict.Kind == isolator.VerdictExclusive
	request.LocalWait = queue.admitter.ExpectedWait(now, req.rank, req.organisation.Name)
	choice := s.route(now, request)
	adm := &admission{queue: queue, id: req.id}
	switch choice.Kind {
	case router.KindForward:
		adm.forwardZone = choice.Zone
		adm.queue = nil
		return adm, nil, nil
	case router.KindNone:
		return nil, nil, choiceFailure(choice)
	}
	waiter := make(chan admitter.Effect, 1)
	queue.waiters[req.id] = waiter
	class := estimator.Class{Service: req.service.Name, Rank: req.rank}
	work := s.router.Estimator().Work(class, req.promptTokens, choice.Explanation.HitTokens)
	queue.applyEffects(queue.admitter.Step(now, admitter.AdmissionRequest{
		RequestID: req.id, Organisation: req.organisation.Name, Rank: req.rank, Work: work,
		FirstToken: choice.Explanation.Prefill + s.env.doc.Network.CallerDelay.Duration,
	}))
	return adm, waiter, nil
}

func (adm *admission) resolve(effect admitter.Effect) (*admission, error) {
	switch decision := effect.(type) {
	case admitter.Admit:
		adm.waited = decision.Waited
		return adm, nil
	case admitter.Refuse:
		f := newRefusal("admit request", refusalCauses[decision.Reason], "")
		f.retryAfter = decision.RetryAfter
		return nil, f
	default:
		return nil, newFailure("admit request", classifier.CauseInternal, eris.New("unexpected admission decision"))
	}
}

var refusalCauses = map[admitter.Reason]classifier.Cause{
	admitter.ReasonTargetUnreachable: classifier.CauseWaitExceeded,
	admitter.ReasonQueueFull:         classifier.CauseQueueFull,
	admitter.ReasonWaitedTooLong:     classifier.CauseWaitExceeded,
	admitter.ReasonUnknownRank:       classifier.CauseUnknownRank,
	admitter.ReasonNoCapacity:        classifier.CauseNoUpstream,
}

func choiceFailure(choice router.Choice) error {
	cause := classifier.CauseNoUpstream
	if choice.Reason == router.ReasonHopLimit {
		cause = classifier.CauseHopLimit
	}
	f := newRefusal("choose target", cause, string(choice.Reason))
	f.retryAfter = choice.RetryAfter
	return f
}

func (s *scheduler) cancelAdmission(adm *admission, waiter chan admitter.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := adm.queue.waiters[adm.id]; waits {
		delete(adm.queue.waiters, adm.id)
		adm.queue.applyEffects(adm.queue.admitter.Step(s.config.now(), admitter.Cancel{RequestID: adm.id}))
		return
	}
	if _, admitted := (<-waiter).(admitter.Admit); admitted {
		s.finishAdmission(adm)
	}
}

// release ends the admission of a request.
func (s *scheduler) release(adm *admission) {
	if adm == nil || adm.queue == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishAdmission(adm)
}

func (s *scheduler) finishAdmission(adm *admission) {
	adm.queue.admitted--
	adm.queue.applyEffects(adm.queue.admitter.Step(s.config.now(), admitter.Done{RequestID: adm.id}))
}
