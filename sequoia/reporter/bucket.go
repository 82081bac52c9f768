package reporter

import (
	"sort"
	"time"
)

// BucketDuration is the period that one bucket covers.
const BucketDuration = time.Minute

// Key identifies one series of buckets.
type Key struct {
	Service string `json:"service"`
	Rank    string `json:"rank"`
}

// Bucket counts the requests of one VM, service and rank in one minute. A bucket with an empty service only marks that
// the VM was counting in that minute.
type Bucket struct {
	Key
	VM    string    `json:"vm"`
	Start time.Time `json:"start"`
	Good  uint64    `json:"good"`
	Bad   uint64    `json:"bad"`
}

// Event is one finished request. Good says whether it met the service-level targets of its rank.
type Event struct {
	Key
	Good bool
}

// Config holds the settings of a Reporter.
type Config struct {
	VM string
}

// Reporter counts the events of one VM into buckets.
type Reporter struct {
	config  Config
	start   time.Time
	buckets map[Key]*Bucket
}

// New returns a reporter without events.
func New(config Config) *Reporter {
	return &Reporter{config: config, buckets: map[Key]*Bucket{}}
}

// Observe counts one event and returns the buckets that are complete at the time.
func (r *Reporter) Observe(now time.Time, event Event) []Bucket {
	completed := r.Tick(now)
	bucket, ok := r.buckets[event.Key]
	if !ok {
		bucket = &Bucket{Key: event.Key, VM: r.config.VM, Start: r.start}
		r.buckets[event.Key] = bucket
	}
	if event.Good {
		bucket.Good++
	} else {
		bucket.Bad++
	}
	return completed
}

// Tick returns the buckets that are complete at the time, sorted by service and rank.
func (r *Reporter) Tick(now time.Time) []Bucket {
	start := now.UTC().Truncate(BucketDuration)
	if r.start.IsZero() {
		r.start = start
	}
	// A clock that steps back keeps the current bucket open, so that no bucket is completed twice.
	if !start.After(r.start) {
		return nil
	}
	completed := r.complete()
	r.start = start
	return completed
}

func (r *Reporter) complete() []Bucket {
	completed := []Bucket{{VM: r.config.VM, Start: r.start}}
	for _, bucket := range r.buckets {
		completed = append(completed, *bucket)
	}
	clear(r.buckets)
	sort.Slice(completed, func(i, j int) bool { return completed[i].less(completed[j].Key) })
	return completed
}

func (k Key) less(other Key) bool {
	if k.Service != other.Service {
		return k.Service < other.Service
	}
	return k.Rank < other.Rank
}
