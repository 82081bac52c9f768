package answerer

import (
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
)

// countRequest and takeRetry keep this VM's part of the fleet's retry budget.
func (a *Answerer) countRequest(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget(service).RecordRequest(time.Now())
}

func (a *Answerer) takeRetry(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget(service).Allow(time.Now(), int(a.peers.Load()))
}

func (a *Answerer) budget(service string) *dispatcher.RetryBudget {
	budget, ok := a.budgets[service]
	if !ok {
		budget = dispatcher.NewRetryBudget(a.config.Budget)
		a.budgets[service] = budget
	}
	return budget
}
