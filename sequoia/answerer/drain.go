package answerer

import "time"

// Drain starts a graceful drain: responses tell callers to use another connection. Requests that arrive after
// refuseFrom and may last beyond end are refused as not run, because they would lose their responses; by then callers
// have had time to learn of the drain. Requests still in progress at end get a final response, so that no caller has to
// guess from a closed connection.
func (a *Answerer) Drain(refuseFrom, end time.Time) {
	time.AfterFunc(time.Until(end), a.cancelDrain)
	a.drainPlan.Store(&drainPlan{refuseFrom: refuseFrom, end: end})
	a.draining.Store(true)
}

// drainPlan holds the times of a graceful drain.
type drainPlan struct {
	refuseFrom, end time.Time
}

// outlasts reports whether a request whose body has been read may last beyond the end of the drain. Bodies may take a
// while, so its arrival says nothing.
func (a *Answerer) outlasts(j *job) bool {
	plan := a.drainPlan.Load()
	return plan != nil && time.Now().After(plan.refuseFrom) && j.deadline.After(plan.end)
}

// Draining reports whether a graceful drain has begun.
func (a *Answerer) Draining() bool {
	return a.draining.Load()
}

// Activity returns the number of requests in progress and the arrival time of the latest one.
func (a *Answerer) Activity() (active int64, last time.Time) {
	return a.active.Load(), time.Unix(0, a.lastArrival.Load())
}
