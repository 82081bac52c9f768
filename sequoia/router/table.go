package router

import (
	"slices"
	"time"
)

// row is what the router holds about one upstream; its number is the row of the estimator too. The fields that each
// decision reads come first, so that they share a cache line.
type row struct {
	hash       uint64
	limit      float64
	confidence float64 // trust in the cache view, 1 when no event was missed
	zone       int     // number of the availability zone
	reservedBy string  // request that runs here alone
	leaving    bool
	suspect    bool
	returning  bool // since the time returned
	used       bool
	sequenced  bool
	upstream   Upstream
	models     []string
	returned   time.Time
	reserved   time.Time
	sequence   uint64
}

// zone is what the router holds about another availability zone.
type zone struct {
	report    ZoneReport
	fresh     bool
	lost      bool
	returned  time.Time
	credit    float64
	forwarded int // own forwards since the report was taken
}

// share returns the part of traffic that something returning at a time may take now.
func share(now, returned time.Time) float64 {
	if returned.IsZero() {
		return 1
	}
	return min(now.Sub(returned).Seconds()*RampPerSecond, 1)
}

// allowed returns the requests that the upstream may hold now; a returning one starts at one request.
func (r *row) allowed(now time.Time) float64 {
	if !r.returning {
		return r.limit
	}
	return max(r.limit*share(now, r.returned), 1)
}

func (r *Router) zoneNumber(name string) int {
	i := slices.Index(r.zoneNames, name)
	if i < 0 {
		r.zoneNames = append(r.zoneNames, name)
		r.zoneAllowed = append(r.zoneAllowed, false)
		i = len(r.zoneNames) - 1
	}
	return i
}

// setAllowed marks the availability zones that a request allows.
func (r *Router) setAllowed(zones []string) {
	clear(r.zoneAllowed)
	for i, name := range r.zoneNames {
		r.zoneAllowed[i] = slices.Contains(zones, name)
	}
}

// mix spreads the bits of a number (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// hashText is FNV-1a, which needs no allocation.
func hashText(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}
