package answerer

import "time"

// Stop makes answers tell callers to use another connection. From a time on, requests that may last beyond the end of
// this process are refused as not run: callers had time to hear of the stop, and would lose their answers. What is still
// in progress at the end gets its final answer, so that no caller has to guess from a closed connection.
func (a *Answerer) Drain(refuseFrom, end time.Time) {
	time.AfterFunc(time.Until(end), a.endNow)
	a.stopPlan.Store(&stopPlan{refuseFrom: refuseFrom, end: end})
	a.stopping.Store(true)
}

// stopPlan says until when a stopping process takes which requests.
type stopPlan struct {
	refuseFrom, end time.Time
}

// outlasts reports whether a request may last beyond the end of this process.
func (a *Answerer) outlasts(j *job) bool {
	plan := a.stopPlan.Load()
	return plan != nil && j.arrived.After(plan.refuseFrom) && j.ends.After(plan.end)
}

// Stopping reports whether a planned stop began.
func (a *Answerer) Draining() bool {
	return a.stopping.Load()
}

// Activity returns the number of requests in progress and the arrival of the last one.
func (a *Answerer) Activity() (active int64, last time.Time) {
	return a.active.Load(), time.Unix(0, a.last.Load())
}
