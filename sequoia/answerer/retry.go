package answerer

import (
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
)

// countRequest counts a request towards this VM's share of the fleet's retry budget.
func (a *Answerer) countRequest(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retryBudget(service).RecordRequest(time.Now())
}

func (a *Answerer) allowRetry(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryBudget(service).Allow(time.Now(), int(a.fleetSize.Load()))
}

func (a *Answerer) retryBudget(service string) *dispatcher.RetryBudget {
	budget, ok := a.retryBudgets[service]
	if !ok {
		budget = dispatcher.NewRetryBudget(a.config.Budget)
		a.retryBudgets[service] = budget
	}
	return budget
}
