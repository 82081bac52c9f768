package dispatcher

import "time"

const (
	// budgetShare is the share of the fleet's retry budget that is used; the windows of the VMs are not aligned.
	budgetShare = 0.7
)

// RetryBudgetConfig limits the sends beyond the first of each request, over all entry VMs. Within Window, retries may
// reach Ratio times the requests plus Extra.
type RetryBudgetConfig struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// RetryBudget is this VM's share of the fleet's retry budget for one service.
type RetryBudget struct {
	config   RetryBudgetConfig
	requests []time.Time
	retries  []time.Time
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.requests = append(b.expire(b.requests, now), now)
}

// Allow reports whether one more retry is within the budget, and counts it if so; vms is the number of entry VMs that
// share the budget.
func (b *RetryBudget) Allow(now time.Time, vms int) bool {
	b.requests = b.expire(b.requests, now)
	b.retries = b.expire(b.retries, now)
	allowed := budgetShare * (b.config.Ratio*float64(len(b.requests)) + b.config.Extra/float64(max(vms, 1)))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

func (b *RetryBudget) expire(list []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(list) && now.Sub(list[first]) > b.config.Window {
		first++
	}
	return list[first:]
}
