package dispatcher

import "time"

const (
	// coldWindow is the time over which the requests to a cold upstream are counted. It is longer than the second for
	// which the limit holds, because requests may arrive closer together than they were sent.
	coldWindow = 1050 * time.Millisecond
	// coldShare is the share of the cold rate limit that one entry VM uses: two of them may send to the same cold
	// upstream while their views of the fleet differ.
	coldShare = 0.5
	// limitWindow is the time over which the requests to an upstream with a stated limit are counted. It bounds what a
	// second sender adds while the views of the fleet differ, to what upstreams bear.
	limitWindow = 2 * time.Second
	// maxLimitWindow is the time in which an upstream with a low limit gets one request, which keeps the limit known.
	maxLimitWindow = 10 * time.Second
	// minSenderRate is the rate in requests per second that a sender gets at least, if the limit allows that: a VM sends
	// little more than its own callers ask for, so that a high limit needs several senders.
	minSenderRate = 1.0
	// limitAnnounceTime is how long a VM tells the others of the region about a limit that an upstream stated, and
	// limitEndAnnounceTime how long about the end of one.
	limitAnnounceTime    = 2 * time.Second
	limitEndAnnounceTime = 10 * time.Second
	// limitAgeUnit is the unit of the age in load updates.
	limitAgeUnit = 100 * time.Millisecond
	// maxLimitAge is the largest age that a report can give, in units of limitAgeUnit.
	maxLimitAge = int(24 * time.Hour / limitAgeUnit)
)

// RateLimit is the number of requests per second that an upstream takes from all entry VMs together.
type RateLimit struct {
	PerSecond float64
	// Stated is false if the upstream states no limit.
	Stated bool
}

// LimitReport is what a VM tells the others of the region about the limit of one upstream.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// PerSecond is the limit in requests per second, if Stated is set.
	PerSecond float64
	Stated    bool
	// Age is the time since the answer of the upstream, in units of limitAgeUnit.
	Age int
}

// knownLimit is the limit that an upstream stated last.
type knownLimit struct {
	RateLimit
	// answeredAt is when the upstream stated it, and heard is set if it did so to this VM.
	answeredAt time.Time
	heard      bool
}

// RecordLimit records what an upstream stated in an answer to this VM, and reports whether that is a change.
func (d *Dispatcher) RecordLimit(now time.Time, id string, limit RateLimit) bool {
	u, ok := d.upstreams[id]
	if !ok || !limit.Stated && u.limit.answeredAt.IsZero() {
		return false
	}
	return u.setLimit(knownLimit{RateLimit: limit, answeredAt: now, heard: true})
}

// UpdateLimits applies the reports of another entry VM of the region, and returns the IDs of the upstreams whose limit
// changed.
func (d *Dispatcher) UpdateLimits(now time.Time, reports map[UpstreamKey]LimitReport) []string {
	if len(reports) == 0 {
		return nil
	}
	var changed []string
	for id, u := range d.upstreams {
		report, ok := reports[u.key]
		if !ok || report.Age < 0 || report.Age > maxLimitAge {
			continue
		}
		answeredAt := now.Add(-time.Duration(report.Age) * limitAgeUnit)
		if !answeredAt.After(u.limit.answeredAt) {
			continue
		}
		if u.setLimit(knownLimit{RateLimit: RateLimit{PerSecond: report.PerSecond, Stated: report.Stated}, answeredAt: answeredAt}) {
			changed = append(changed, id)
		}
	}
	return changed
}

// LocalLimits returns the limits that upstreams stated to this VM lately, and the limits that ended.
func (d *Dispatcher) LocalLimits(now time.Time) map[UpstreamKey]LimitReport {
	var reports map[UpstreamKey]LimitReport
	for _, u := range d.upstreams {
		age := now.Sub(u.limit.answeredAt)
		announced := u.limit.Stated && age <= limitAnnounceTime || !u.limit.Stated && age <= limitEndAnnounceTime
		if !u.limit.heard || !announced {
			continue
		}
		if reports == nil {
			reports = map[UpstreamKey]LimitReport{}
		}
		reports[u.key] = LimitReport{PerSecond: u.limit.PerSecond, Stated: u.limit.Stated, Age: int(age / limitAgeUnit)}
	}
	return reports
}

// Limit returns the limit that an upstream stated last.
func (d *Dispatcher) Limit(id string) RateLimit {
	if u, ok := d.upstreams[id]; ok {
		return u.limit.RateLimit
	}
	return RateLimit{}
}

func (u *upstreamState) setLimit(limit knownLimit) bool {
	changed := u.limit.RateLimit != limit.RateLimit
	u.limit = limit
	return changed
}

// sharedRate is the rate of requests to one upstream that its senders keep together.
type sharedRate struct {
	perSecond float64
	window    time.Duration
	// senders is the number of VMs of the region that send to the upstream.
	senders int
}

// rate returns the rate of requests to an upstream, or false if it has no limit.
func (d *Dispatcher) rate(now time.Time, u *upstreamState, limits Limits) (sharedRate, bool) {
	cold := sharedRate{perSecond: limits.ColdPerSecond * coldShare, window: coldWindow, senders: 1}
	if !u.limit.Stated {
		return cold, d.mayBeCold(now, u, limits)
	}
	if d.mayBeCold(now, u, limits) && cold.perSecond < u.limit.PerSecond {
		return cold, true
	}
	senders := max(1, int(u.limit.PerSecond/minSenderRate))
	return sharedRate{perSecond: u.limit.PerSecond, window: limitWindow, senders: senders}, true
}

// mayShareRate reports whether this VM is one of the senders to an upstream and has a part of their rate left.
func (d *Dispatcher) mayShareRate(now time.Time, u *upstreamState, rate sharedRate) bool {
	if !d.fleetExpires.IsZero() && !now.Before(d.fleetExpires) {
		return false
	}
	if !isSenderIn(d.fleet, d.self, u.ID, rate.senders) {
		return false
	}
	perSecond := rate.perSecond / float64(min(rate.senders, len(d.fleet)))
	if d.isNewSender(now, u, rate.senders) {
		perSecond = min(perSecond, handoverRate)
	}
	return u.withinRate(now, perSecond, rate.window)
}

// withinRate reports whether one more request keeps the rate in requests per second, counted over the window or, for a
// lower rate, over the time of one request.
func (u *upstreamState) withinRate(now time.Time, perSecond float64, window time.Duration) bool {
	if perSecond*window.Seconds() < 1 {
		window = min(maxLimitWindow, time.Duration(float64(time.Second)/max(perSecond, 1/maxLimitWindow.Seconds())))
	}
	return float64(u.sentWithin(now, window)+1) <= max(1, perSecond*window.Seconds())
}
