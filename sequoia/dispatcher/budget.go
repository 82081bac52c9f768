package dispatcher

import "time"

const (
	// budgetShare is the part of the fleet's retry budget that is used: VMs count different windows.
	budgetShare = 0.7
)

// BudgetConfig bounds the sends beyond the first of each request, over all entry VMs.
type RetryBudgetConfig struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Budget is the part of the fleet's retry budget of one service that this VM may use.
type RetryBudget struct {
	config   RetryBudgetConfig
	requests []time.Time
	again    []time.Time
}

// NewBudget returns a budget of which nothing is used.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config}
}

// Request counts a request of a caller.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.requests = append(b.expire(b.requests, now), now)
}

// Take reports whether one more send is within the budget, and counts it; VMs is the number of entry VMs that share it.
func (b *RetryBudget) Allow(now time.Time, vms int) bool {
	b.requests = b.expire(b.requests, now)
	b.again = b.expire(b.again, now)
	allowed := budgetShare * (b.config.Ratio*float64(len(b.requests)) + b.config.Extra/float64(max(vms, 1)))
	if float64(len(b.again)+1) > allowed {
		return false
	}
	b.again = append(b.again, now)
	return true
}

func (b *RetryBudget) expire(list []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(list) && now.Sub(list[first]) > b.config.Window {
		first++
	}
	return list[first:]
}
