package answerer

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/lessee"
	"sequoiaspread.example/sequoia/lessor"
)

const (
	// causeOverLimit means that the organisation has sent more than its rate limit allows.
	causeOverLimit = "over-limit"
	// maxHeld limits the requests that wait for units, whose bodies occupy memory.
	maxHeld = 256
	// maxHeldEach limits those of one organisation, so that one far over its limit leaves room for others.
	maxHeldEach = 64
	// minHoldPause is the shortest time between two attempts of a request that waits.
	minHoldPause = 10 * time.Millisecond
	// maxQuotaLabels limits the organisations with label values of their own; the others share otherOrganisations.
	maxQuotaLabels     = 64
	otherOrganisations = "other"
)

// Results of requests for units, the label values of the metric.
const (
	unitsAdmitted = "admitted"
	unitsRefused  = "refused"
	unitsReturned = "returned"
)

// quota holds the units of the organisations at this VM.
type quota struct {
	metrics *Metrics
	// limited is set while an organisation has a limit.
	limited atomic.Bool

	mu     sync.Mutex
	lessee *lessee.Lessee
	held   int
	// heldBy counts the requests that wait by organisation.
	heldBy map[string]int
	// changed holds a channel for each organisation with requests that wait. It is closed and removed when they may find
	// more units.
	changed map[string]chan struct{}
	// fleet is the size of the fleet in the last reply of a leader.
	fleet  int
	labels map[string]bool
}

func newQuota(now time.Time, metrics *Metrics) *quota {
	return &quota{metrics: metrics, lessee: lessee.New(now), changed: map[string]chan struct{}{}, labels: map[string]bool{}, heldBy: map[string]int{}}
}

// setLimits applies the limits of a document.
func (q *quota) setLimits(now time.Time, table *director.Table) {
	limits := map[string]lessee.Limit{}
	for name, organisation := range table.Organisations() {
		if limit := organisation.Limit; limit.Rate > 0 {
			limits[name] = lessee.Limit{Rate: limit.Rate, Burst: limit.Burst, CountsTokens: limit.CountsTokens}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited.Store(len(limits) > 0)
	q.lessee.SetLimits(now, limits)
	q.notifyAll()
}

func (q *quota) setFleetSize(size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lessee.SetFleetSize(size)
}

// notify wakes the requests of an organisation that wait for units. The lock must be held.
func (q *quota) notify(organisation string) {
	if changed, ok := q.changed[organisation]; ok {
		close(changed)
		delete(q.changed, organisation)
	}
}

// notifyAll wakes all requests that wait for units. The lock must be held.
func (q *quota) notifyAll() {
	for name := range q.changed {
		q.notify(name)
	}
}

// change returns the channel that the next notify of an organisation closes. The lock must be held.
func (q *quota) change(organisation string) <-chan struct{} {
	changed, ok := q.changed[organisation]
	if !ok {
		changed = make(chan struct{})
		q.changed[organisation] = changed
	}
	return changed
}

// apply applies a leader's reply. It wakes the organisations of the report only, since the units of the others depend on
// the size of the fleet alone.
func (q *quota) apply(now, sentAt time.Time, report *lessor.Report, grant lessor.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lessee.Apply(now, sentAt, report, grant)
	if grant.Fleet != q.fleet {
		q.fleet = grant.Fleet
		q.notifyAll()
		return
	}
	if report == nil {
		return
	}
	for _, name := range report.Organisations {
		q.notify(name)
	}
}

// count adds to the metric. The lock must be held.
func (q *quota) count(organisation, result string, units float64) {
	q.metrics.units.WithLabelValues(q.label(organisation), result).Add(units)
}

func (q *quota) label(organisation string) string {
	if !q.labels[organisation] && len(q.labels) >= maxQuotaLabels {
		return otherOrganisations
	}
	q.labels[organisation] = true
	return organisation
}

// units returns what the request costs.
func (j *job) units() float64 {
	limit := j.organisation.Limit
	switch {
	case !limit.CountsTokens:
		return 1
	case j.info.Tokens > 0:
		return float64(j.info.Tokens)
	default:
		return float64(limit.PlainUnits)
	}
}

// takeUnits takes the units of a request of a caller, after its body has arrived: the limit holds for what is sent to
// upstreams, and bodies that arrive slowly would let requests of a long time be sent at once. It answers the request
// itself and returns false if the organisation is over its limit.
func (j *job) takeUnits() bool {
	if j.organisation == nil || j.organisation.Limit.Rate <= 0 {
		return true
	}
	admission := j.awaitUnits()
	if !admission.Admitted {
		j.a.config.HeaderCodec.SetRetryAfter(j.w.Header(), admission.RetryAfter)
		j.reply(http.StatusTooManyRequests, causeOverLimit)
		return false
	}
	j.ticket = admission.Ticket
	return true
}

// awaitUnits takes the units of the request, for which it may wait.
func (j *job) awaitUnits() lessee.Admission {
	q, name, units := j.a.quota, j.organisation.Name, j.units()
	q.mu.Lock()
	defer q.mu.Unlock()
	admission := q.lessee.Take(time.Now(), name, units)
	if !admission.Admitted && admission.Hold > 0 && q.held < maxHeld && q.heldBy[name] < maxHeldEach {
		admission = j.hold(admission, units)
	}
	result := unitsAdmitted
	if !admission.Admitted {
		result = unitsRefused
	}
	q.count(name, result, units)
	return admission
}

// hold waits until the request finds enough units or none are likely to come any more, for at most half of its remaining
// time. The lock must be held; it is released meanwhile.
func (j *job) hold(admission lessee.Admission, units float64) lessee.Admission {
	q, name := j.a.quota, j.organisation.Name
	q.held++
	q.heldBy[name]++
	q.lessee.Hold(name, units)
	defer func() {
		q.held--
		if q.heldBy[name]--; q.heldBy[name] == 0 {
			delete(q.heldBy, name)
			delete(q.changed, name)
		}
		q.lessee.Release(name, units)
	}()
	limit := time.NewTimer(min(admission.Hold, time.Until(j.deadline)/2))
	defer limit.Stop()
	for over := false; !over && !admission.Admitted && admission.Hold > 0; {
		over = q.await(j, limit.C, max(minHoldPause, admission.Pause))
		admission = q.lessee.TakeHeld(time.Now(), name, units)
	}
	return admission
}

// await waits for a change or a pause, and reports whether the wait of the request is over. The lock must be held; it is
// released meanwhile.
func (q *quota) await(j *job, limit <-chan time.Time, pause time.Duration) bool {
	changed := q.change(j.organisation.Name)
	q.mu.Unlock()
	defer q.mu.Lock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-limit:
		return true
	case <-j.r.Context().Done():
		return true
	case <-j.a.drainCtx.Done():
		return true
	}
	return false
}

// returnUnits gives back the units of a request that is refused as not run.
func (j *job) returnUnits() {
	if j.ticket == (lessee.Ticket{}) {
		return
	}
	q := j.a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lessee.Return(time.Now(), j.organisation.Name, j.ticket)
	q.count(j.organisation.Name, unitsReturned, j.units())
	j.ticket = lessee.Ticket{}
	q.notify(j.organisation.Name)
}

// DemandReport returns the demand to report to the leader in a heartbeat, or nil if there is none.
func (a *Answerer) DemandReport() *lessor.Report {
	return a.demandReport((*lessee.Lessee).Report)
}

// EarlyDemandReport returns the demand to report between two heartbeats, or nil if there is none.
func (a *Answerer) EarlyDemandReport() *lessor.Report {
	return a.demandReport((*lessee.Lessee).EarlyReport)
}

func (a *Answerer) demandReport(report func(l *lessee.Lessee, now time.Time) *lessor.Report) *lessor.Report {
	q := a.quota
	if !q.limited.Load() {
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.labels {
		q.metrics.shares.WithLabelValues(name).Set(q.lessee.Share(now, name))
	}
	return report(q.lessee, now)
}

// EarlyReportDue reports whether the demand should be reported before the next heartbeat.
func (a *Answerer) EarlyReportDue() bool {
	q := a.quota
	if !q.limited.Load() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	wait, due := q.lessee.EarlyReportIn(time.Now())
	return due && wait <= 0
}

// ApplyLease applies the leader's reply to a report, which was sent at a time and may be nil.
func (a *Answerer) ApplyLease(sentAt time.Time, report *lessor.Report, grant lessor.Grant) {
	a.quota.apply(time.Now(), sentAt, report, grant)
}

// LeaseChange returns whether the shares of this VM were lost or regained since the last call.
func (a *Answerer) LeaseChange() lessee.LeaseChange {
	q := a.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lessee.LeaseChange(time.Now())
}
