package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// momentGap separates crashes that count as evidence of their own: upstreams that fail together, as those of a rack
	// do, count once.
	momentGap = 400 * time.Millisecond
	// minMomentShare is the share of the upstreams that crashed around a moment on which a part must have been lost for
	// the moment to count against it: otherwise there is another cause.
	minMomentShare = 1.0 / 3
	// maxEvidence limits the crashes that are sent with a blocked part.
	maxEvidence = 6
)

// evidence holds the crashes under one fingerprint since its last known completion.
type evidence struct {
	crashes     map[uint32]time.Time
	suspectedAt time.Time
	completedAt time.Time
	blocked     bool
	// depth is the position of a part in the prompts.
	depth byte
}

// unexplained returns the upstreams that crashed under the fingerprint, without those in explained.
func (e *evidence) unexplained(explained map[uint32]bool) []uint32 {
	var list []uint32
	for upstream := range e.crashes {
		if !explained[upstream] {
			list = append(list, upstream)
		}
	}
	return list
}

func (e *evidence) first() time.Time {
	var first time.Time
	for _, at := range e.crashes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// sample returns some of the crashes, from the newest to the oldest. Neighbours may belong to one moment, so they are
// taken at equal distances.
func (e *evidence) sample(now time.Time) []UpstreamCrash {
	var list []UpstreamCrash
	for upstream, at := range e.crashes {
		list = append(list, UpstreamCrash{Upstream: upstream, Age: now.Sub(at)})
	}
	slices.SortFunc(list, func(x, y UpstreamCrash) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Upstream, y.Upstream))
	})
	if len(list) > maxEvidence {
		list = spread(list, maxEvidence)
	}
	return list
}

// spread returns some elements at equal distances, with the first and the last one.
func spread(list []UpstreamCrash, count int) []UpstreamCrash {
	var chosen []UpstreamCrash
	for i := range count {
		chosen = append(chosen, list[i*(len(list)-1)/(count-1)])
	}
	return chosen
}

// countAround returns how many of some times in ascending order are less than half a momentGap away from a time.
func countAround(times []time.Time, at time.Time) int {
	first, _ := slices.BinarySearchFunc(times, at.Add(-momentGap/2), time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, at.Add(momentGap/2), time.Time.Compare)
	return end - first
}

// moments counts the crashes under a part that are at least momentGap apart, without those in explained and those at
// moments at which most upstreams crashed without the part.
func (b *Blamer) moments(e *evidence, explained map[uint32]bool) int {
	own := slices.SortedFunc(maps.Values(e.crashes), time.Time.Compare)
	var times []time.Time
	for _, upstream := range e.unexplained(explained) {
		at := e.crashes[upstream]
		if float64(countAround(own, at)) >= minMomentShare*float64(countAround(b.times, at)) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var opened time.Time
	for _, at := range times {
		if count == 0 || at.Sub(opened) >= momentGap {
			count++
			opened = at
		}
	}
	return count
}
