package admitter

import "time"

// refuseEarly refuses a request whose expected wait exceeds its wait budget.
func (a *Admitter) refuseEarly(now time.Time, r *rankQueue, q *orgQueue, m AdmissionRequest) ([]Effect, bool) {
	wait := a.waitInQueue(now, r, q)
	if wait <= r.waitBudget(m) {
		return nil, false
	}
	return []Effect{Refuse{RequestID: m.RequestID, Reason: ReasonTargetUnreachable, RetryAfter: retryAfter(wait, r.waitBudget(m))}}, true
}

// enforceQueueLimit refuses the last request of the longest organisation queue if the rank exceeds its queue limit.
func (a *Admitter) enforceQueueLimit(now time.Time, r *rankQueue) []Effect {
	if r.queued <= r.queueLimit {
		return nil
	}
	q := r.longestQueue()
	last := q.requests[len(q.requests)-1]
	wait := a.waitInQueue(now, r, q)
	a.removeQueued(last.request.RequestID)
	return []Effect{Refuse{RequestID: last.request.RequestID, Reason: ReasonQueueFull, RetryAfter: retryAfter(wait, 0)}}
}

func (a *Admitter) refuseOverdue(now time.Time) []Effect {
	var effects []Effect
	for i := range a.ranks {
		r := &a.ranks[i]
		for _, queued := range r.overdue(now) {
			q := a.positions[queued.request.RequestID].queue
			wait := a.waitInQueue(now, r, q)
			a.removeQueued(queued.request.RequestID)
			effects = append(effects, Refuse{RequestID: queued.request.RequestID, Reason: a.overdueReason(), RetryAfter: retryAfter(wait, 0)})
		}
	}
	return effects
}

// overdueReason returns the reason for refusing an overdue request.
func (a *Admitter) overdueReason() Reason {
	if a.capacity.Slots < 1 {
		return ReasonNoCapacity
	}
	return ReasonWaitedTooLong
}

// overdue returns the queued requests that exceeded their wait budget.
func (r *rankQueue) overdue(now time.Time) []queuedRequest {
	var overdue []queuedRequest
	for _, q := range r.backlogged {
		for _, queued := range q.requests {
			if now.Sub(queued.queuedAt) > r.waitBudget(queued.request) {
				overdue = append(overdue, queued)
			}
		}
	}
	return overdue
}

// waitBudget returns the longest wait with which a request still meets its target, capped by the rank's maximum wait.
func (r *rankQueue) waitBudget(m AdmissionRequest) time.Duration {
	minWait := time.Duration(minWaitRatio * float64(r.target))
	left := time.Duration(usableTargetRatio*float64(r.target)) - m.FirstToken
	return min(max(left, minWait), r.maxWait)
}

func retryAfter(wait, budget time.Duration) time.Duration {
	return max(wait-budget, minRetryAfter)
}
