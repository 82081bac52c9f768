package reporter

import (
	"math"
	"sort"
	"time"
)

// BudgetPeriod is the period that the error budget covers.
const BudgetPeriod = 30 * 24 * time.Hour

// BurnRateWindows returns the windows over which the burn rate is computed, shortest first.
func BurnRateWindows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}
}

// Objective is a service-level objective: the share of requests of a service and rank that must meet their targets.
type Objective struct {
	Key
	Share float64 `json:"share"`
}

// BurnRate is the burn rate of the error budget over one window. A Rate of 1 exhausts the budget exactly at the end of
// the budget period.
type BurnRate struct {
	Window time.Duration `json:"window-nanoseconds"`
	Good   uint64        `json:"good"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"`
}

// ObjectiveStatus is the error budget of one objective. Remaining is the fraction of the budget that is left.
// ExhaustedIn is the time until the budget is exhausted at the burn rate of the one-hour window; Exhausts is false if
// it is not exhausted within the budget period at that rate.
type ObjectiveStatus struct {
	Objective
	Burns       []BurnRate    `json:"burns"`
	Remaining   float64       `json:"remaining-budget"`
	Exhausts    bool          `json:"exhausts"`
	ExhaustedIn time.Duration `json:"exhausted-in-nanoseconds"`
}

// Report is the error budget status by service and rank. Covered is the fraction of the last hour's minutes for which
// the VMs with any history have buckets; less than 1 means gaps.
type Report struct {
	At      time.Time         `json:"at"`
	Lines   []ObjectiveStatus `json:"lines"`
	Covered float64           `json:"covered"`
}

// NewReport computes a report from the buckets of any number of VMs. Duplicate buckets count once.
func NewReport(now time.Time, objectives []Objective, buckets []Bucket) Report {
	unique := deduplicate(buckets)
	report := Report{At: now.UTC(), Covered: coverage(now, unique)}
	for _, objective := range objectives {
		report.Lines = append(report.Lines, newObjectiveStatus(now, objective, unique))
	}
	return report
}

type bucketID struct {
	Key
	vm    string
	start int64
}

// deduplicate keeps one of the copies of a bucket that several controllers hold, the one with the most requests.
func deduplicate(buckets []Bucket) []Bucket {
	byID := map[bucketID]Bucket{}
	for _, bucket := range buckets {
		id := bucketID{Key: bucket.Key, vm: bucket.VM, start: bucket.Start.Unix()}
		existing, ok := byID[id]
		if !ok || bucket.Good+bucket.Bad > existing.Good+existing.Bad {
			byID[id] = bucket
		}
	}
	unique := make([]Bucket, 0, len(byID))
	for _, bucket := range byID {
		unique = append(unique, bucket)
	}
	sort.Slice(unique, func(i, j int) bool { return unique[i].sortsBefore(unique[j]) })
	return unique
}

func (b Bucket) sortsBefore(other Bucket) bool {
	switch {
	case !b.Start.Equal(other.Start):
		return b.Start.Before(other.Start)
	case b.VM != other.VM:
		return b.VM < other.VM
	default:
		return b.less(other.Key)
	}
}

func newObjectiveStatus(now time.Time, objective Objective, buckets []Bucket) ObjectiveStatus {
	status := ObjectiveStatus{Objective: objective}
	for _, window := range BurnRateWindows() {
		good, bad := countRequests(now, window, objective.Key, buckets)
		status.Burns = append(status.Burns, BurnRate{Window: window, Good: good, Bad: bad, Rate: burnRate(objective.Share, good, bad)})
	}
	good, bad := countRequests(now, BudgetPeriod, objective.Key, buckets)
	status.Remaining = remainingBudget(objective.Share, good, bad)
	status.Exhausts, status.ExhaustedIn = timeToExhaustion(status.Remaining, status.Burns[1].Rate)
	return status
}

func countRequests(now time.Time, window time.Duration, key Key, buckets []Bucket) (good, bad uint64) {
	from := now.Add(-window)
	for _, bucket := range buckets {
		if bucket.Key == key && bucket.Start.After(from) && !bucket.Start.After(now) {
			good += bucket.Good
			bad += bucket.Bad
		}
	}
	return good, bad
}

func burnRate(target float64, good, bad uint64) float64 {
	if good+bad == 0 || target >= 1 {
		return 0
	}
	badFraction := float64(bad) / float64(good+bad)
	return round(badFraction / (1 - target))
}

// remainingBudget returns the fraction of the error budget of the observed requests that is left. It is negative when
// more than the budget was used.
func remainingBudget(target float64, good, bad uint64) float64 {
	return round(1 - burnRate(target, good, bad))
}

// round makes reports identical on processors that fuse floating-point operations.
func round(value float64) float64 {
	const scale = 1e6
	return math.Round(value*scale) / scale
}

func timeToExhaustion(remaining, rate float64) (bool, time.Duration) {
	switch {
	case remaining <= 0:
		return true, 0
	case rate <= 0:
		return false, 0
	}
	span := time.Duration(remaining / rate * float64(BudgetPeriod)).Truncate(time.Second)
	return span < BudgetPeriod, span
}

// coverage returns the fraction of the minutes of one hour for which the VMs have buckets, counted from the first
// bucket of each VM. The hour ends settleTime ago, because later buckets may not have arrived yet.
func coverage(now time.Time, buckets []Bucket) float64 {
	const (
		window     = time.Hour
		settleTime = 2 * time.Minute
	)
	end := now.Add(-settleTime).Truncate(BucketDuration)
	firstStart := map[string]time.Time{}
	counted := map[string]int{}
	for _, bucket := range buckets {
		if bucket.Service != "" || !bucket.Start.Before(end) {
			continue
		}
		if existing, ok := firstStart[bucket.VM]; !ok || bucket.Start.Before(existing) {
			firstStart[bucket.VM] = bucket.Start
		}
		if !bucket.Start.Before(end.Add(-window)) {
			counted[bucket.VM]++
		}
	}
	return coveredShare(end, window, firstStart, counted)
}

func coveredShare(end time.Time, window time.Duration, firstStart map[string]time.Time, countedByVM map[string]int) float64 {
	counted, possible := 0, 0
	for vm, start := range firstStart {
		span := min(end.Sub(start), window)
		expected := int(span / BucketDuration)
		possible += expected
		counted += min(countedByVM[vm], expected)
	}
	if possible == 0 {
		return 0
	}
	return round(float64(counted) / float64(possible))
}
