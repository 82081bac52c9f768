package lessee

import (
	"math"
	"time"
)

const (
	// slowTime and fastTime are the time constants of the mean demand. They are short enough that shares follow demand which
	// moves between zones within seconds.
	slowTime = 800 * time.Millisecond
	fastTime = 250 * time.Millisecond
	// fastFactor allows for the noise of the fast mean.
	fastFactor = 3
	// idleTime is the time without a request after which an organisation has no demand.
	idleTime = 4 * time.Second
	// demandTime limits what one request adds to the demand: the burst and the units of this time.
	demandTime = 2 * time.Second
	// maxReported limits the units in a report. Larger ones may not fit into an int64, and are not exact as a float64.
	maxReported = 1 << 53
)

// account is the bucket of an organisation with its share of the leased part and its demand.
type account struct {
	bucket
	limit Limit
	// share is held until leasedUntil, fixed is the size without a share.
	share       int64
	leasedUntil time.Time
	fixed       size
	demand      demand
	// reported is the demand in the last report.
	reported int64
	// held are the units of the requests that wait.
	held float64
	// lackedAt is when units were lacking that no grant has taken into account yet; decidedAt is when the report was sent
	// that the last grant replied to.
	lackedAt, decidedAt time.Time
	// scarce is set while the organisation has more demand than its limit.
	scarce bool
}

// advance fills the bucket until now, at the rate without a share from when the lease ended.
func (a *account) advance(now time.Time) {
	if a.share > 0 && !now.Before(a.leasedUntil) {
		a.fill(a.leasedUntil)
		a.share = 0
		a.resize(a.fixed)
	}
	a.fill(now)
}

// idle reports whether nothing would change if the account were created anew.
func (a *account) idle(now time.Time) bool {
	return a.share == 0 && a.held == 0 && a.full() && now.Sub(a.demand.at) > idleTime
}

// wanted returns the units per second that are reported, or 0 without demand.
func (a *account) wanted(now time.Time) int64 {
	if a.held == 0 && now.Sub(a.demand.at) > idleTime {
		return 0
	}
	return reportable(a.demand.rate(now))
}

// reportable rounds units up to a number that a report may state.
func reportable(units float64) int64 {
	return int64(min(max(1, math.Ceil(units)), maxReported))
}

// demand is the mean of the units requested per second.
type demand struct {
	// slow and fast are the units with their time constants.
	slow, fast float64
	at         time.Time
}

func (d *demand) add(now time.Time, units float64) {
	age := now.Sub(d.at)
	d.slow = d.slow*decay(age, slowTime) + units
	d.fast = d.fast*decay(age, fastTime) + units
	d.at = now
}

// rate follows the slow mean, but falls with the fast one once that is far below it, as after demand has moved away.
func (d *demand) rate(now time.Time) float64 {
	age := now.Sub(d.at)
	slow, fast := d.slow*decay(age, slowTime)/slowTime.Seconds(), d.fast*decay(age, fastTime)/fastTime.Seconds()
	return min(slow, fastFactor*fast)
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / constant.Seconds())
}
