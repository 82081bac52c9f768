package reporter

import (
	"math"
	"sort"
	"time"
)

// BudgetPeriod is the time over which the error budget is allowed to be used up.
const BudgetPeriod = 30 * 24 * time.Hour

// Windows returns the spans over which the burn rate is computed, the shortest first.
func BurnRateWindows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}
}

// Objective is the share of requests of a service and rank that must meet their targets.
type Objective struct {
	Key
	Share float64 `json:"share"`
}

// Burn is the use of the error budget over one window; a Rate of 1 uses it up exactly over the budget period.
type BurnRate struct {
	Window time.Duration `json:"window-nanoseconds"`
	Good   uint64        `json:"good"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"`
}

// Line is the report on one service and rank. ExhaustedIn is the time until the budget is used up at the rate of the
// one-hour window; Exhausts is false when it is not used up at that rate.
type ObjectiveStatus struct {
	Objective
	Burns       []BurnRate    `json:"burns"`
	Remaining   float64       `json:"remaining-budget"`
	Exhausts    bool          `json:"exhausts"`
	ExhaustedIn time.Duration `json:"exhausted-in-nanoseconds"`
}

// Report is the use of the error budget by service and rank. Covered is the share of the last hour's minutes that each
// VM with any history counted; less than 1 means gaps.
type Report struct {
	At      time.Time         `json:"at"`
	Lines   []ObjectiveStatus `json:"lines"`
	Covered float64           `json:"covered"`
}

// NewReport computes a report from buckets of any number of VMs; a bucket that appears twice counts once.
func NewReport(now time.Time, objectives []Objective, buckets []Bucket) Report {
	unique := merge(buckets)
	report := Report{At: now.UTC(), Covered: coverage(now, unique)}
	for _, objective := range objectives {
		report.Lines = append(report.Lines, newLine(now, objective, unique))
	}
	return report
}

type bucketID struct {
	Key
	vm    string
	start int64
}

// merge keeps one of the copies of a bucket that several controllers hold, the fullest.
func merge(buckets []Bucket) []Bucket {
	byID := map[bucketID]Bucket{}
	for _, bucket := range buckets {
		id := bucketID{Key: bucket.Key, vm: bucket.VM, start: bucket.Start.Unix()}
		known, ok := byID[id]
		if !ok || bucket.Good+bucket.Bad > known.Good+known.Bad {
			byID[id] = bucket
		}
	}
	unique := make([]Bucket, 0, len(byID))
	for _, bucket := range byID {
		unique = append(unique, bucket)
	}
	sort.Slice(unique, func(i, j int) bool { return unique[i].before(unique[j]) })
	return unique
}

func (b Bucket) before(other Bucket) bool {
	switch {
	case !b.Start.Equal(other.Start):
		return b.Start.Before(other.Start)
	case b.VM != other.VM:
		return b.VM < other.VM
	default:
		return b.less(other.Key)
	}
}

func newLine(now time.Time, objective Objective, buckets []Bucket) ObjectiveStatus {
	line := ObjectiveStatus{Objective: objective}
	for _, window := range BurnRateWindows() {
		good, bad := count(now, window, objective.Key, buckets)
		line.Burns = append(line.Burns, BurnRate{Window: window, Good: good, Bad: bad, Rate: burnRate(objective.Share, good, bad)})
	}
	good, bad := count(now, BudgetPeriod, objective.Key, buckets)
	line.Remaining = remaining(objective.Share, good, bad)
	line.Exhausts, line.ExhaustedIn = exhaustion(line.Remaining, line.Burns[1].Rate)
	return line
}

func count(now time.Time, window time.Duration, key Key, buckets []Bucket) (good, bad uint64) {
	from := now.Add(-window)
	for _, bucket := range buckets {
		if bucket.Key == key && bucket.Start.After(from) && !bucket.Start.After(now) {
			good += bucket.Good
			bad += bucket.Bad
		}
	}
	return good, bad
}

func burnRate(share float64, good, bad uint64) float64 {
	if good+bad == 0 || share >= 1 {
		return 0
	}
	badShare := float64(bad) / float64(good+bad)
	return round(badShare / (1 - share))
}

// remaining is the share of the error budget of the requests seen so far that is not used up; it is negative when more
// than the budget was used.
func remaining(share float64, good, bad uint64) float64 {
	return round(1 - burnRate(share, good, bad))
}

// round makes reports equal on processors that fuse floating-point operations.
func round(value float64) float64 {
	const scale = 1e6
	return math.Round(value*scale) / scale
}

func exhaustion(left, rate float64) (bool, time.Duration) {
	switch {
	case left <= 0:
		return true, 0
	case rate <= 0:
		return false, 0
	}
	span := time.Duration(left / rate * float64(BudgetPeriod)).Truncate(time.Second)
	return span < BudgetPeriod, span
}

// coverage compares the minutes that VMs counted in one hour with those that they could have. The hour ends settleTime
// ago, since later buckets may still be on their way.
func coverage(now time.Time, buckets []Bucket) float64 {
	const (
		window     = time.Hour
		settleTime = 2 * time.Minute
	)
	end := now.Add(-settleTime).Truncate(BucketDuration)
	first := map[string]time.Time{}
	minutes := map[string]int{}
	for _, bucket := range buckets {
		if bucket.Service != "" || !bucket.Start.Before(end) {
			continue
		}
		if known, ok := first[bucket.VM]; !ok || bucket.Start.Before(known) {
			first[bucket.VM] = bucket.Start
		}
		if !bucket.Start.Before(end.Add(-window)) {
			minutes[bucket.VM]++
		}
	}
	return coveredShare(end, window, first, minutes)
}

func coveredShare(end time.Time, window time.Duration, first map[string]time.Time, minutes map[string]int) float64 {
	counted, possible := 0, 0
	for vm, start := range first {
		span := min(end.Sub(start), window)
		want := int(span / BucketDuration)
		possible += want
		counted += min(minutes[vm], want)
	}
	if possible == 0 {
		return 0
	}
	return round(float64(counted) / float64(possible))
}
