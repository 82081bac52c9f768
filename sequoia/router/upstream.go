package router

import (
	"slices"
	"time"
)

// upstreamState is the state of one upstream. Its index is the same as in the estimator. The fields that each decision
// reads come first, so that they share a cache line.
type upstreamState struct {
	hash             uint64
	concurrencyLimit float64
	cacheConfidence  float64 // confidence in the cache view, 1 if no event was lost
	zoneIndex        int     // index of the availability zone
	reservedBy       string  // request that has the upstream for itself
	draining         bool
	suspect          bool
	ramping          bool // in slow start since rampStart
	occupied         bool
	hasSequence      bool
	upstream         Upstream
	models           []string
	rampStart        time.Time
	reservedAt       time.Time
	sequence         uint64
}

// zoneState is the state of another availability zone.
type zoneState struct {
	report               ZoneReport
	fresh                bool
	unreachable          bool
	rampStart            time.Time
	forwardCredit        float64
	forwardedSinceReport int // requests forwarded by this process since the report
}

// rampShare returns the share of traffic allowed now for an upstream or zone in slow start.
func rampShare(now, rampStart time.Time) float64 {
	if rampStart.IsZero() {
		return 1
	}
	return min(now.Sub(rampStart).Seconds()*RampPerSecond, 1)
}

// currentLimit returns the concurrency limit of the upstream, which starts at one request during slow start.
func (s *upstreamState) currentLimit(now time.Time) float64 {
	if !s.ramping {
		return s.concurrencyLimit
	}
	return max(s.concurrencyLimit*rampShare(now, s.rampStart), 1)
}

func (r *Router) zoneIndex(name string) int {
	i := slices.Index(r.zoneNames, name)
	if i < 0 {
		r.zoneNames = append(r.zoneNames, name)
		r.zoneAllowed = append(r.zoneAllowed, false)
		i = len(r.zoneNames) - 1
	}
	return i
}

// markAllowedZones marks the availability zones in which a request may run.
func (r *Router) markAllowedZones(zones []string) {
	clear(r.zoneAllowed)
	for i, name := range r.zoneNames {
		r.zoneAllowed[i] = slices.Contains(zones, name)
	}
}

// mixBits is the finaliser of SplitMix64.
func mixBits(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// hashString is FNV-1a without allocations.
func hashString(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}
