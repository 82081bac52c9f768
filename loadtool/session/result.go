package session

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyFloor and latencyCeiling bound the recorded latencies, in microseconds.
	latencyFloor   = 1
	latencyCeiling = int64(2 * time.Minute / time.Microsecond)
	latencyDigits  = 3
	median         = 50.0
	tail           = 99.0
	// failuresKept bounds the failures that are printed.
	failuresKept = 20
)

// Row holds the figures of one kind of request.
type Row struct {
	Name     string
	Requests int
	Answered int
	Refusals int
	Failed   int
	// Remote counts the answers from an upstream in another region than the entry VM.
	Remote     int
	firstToken *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

// Latency is a pair of percentiles.
type Latency struct {
	Median time.Duration
	Tail   time.Duration
}

// FirstToken returns the latency to the first token.
func (r *Row) FirstToken() Latency {
	return latencyOf(r.firstToken)
}

// Whole returns the latency to the end of the answer.
func (r *Row) Whole() Latency {
	return latencyOf(r.whole)
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Latency{Median: at(median), Tail: at(tail)}
}

// Result collects what a session saw.
type Result struct {
	regionOf func(zone string) string
	zoneOf   func(vm string) string

	mu           sync.Mutex
	rows         map[string]*Row
	failures     []string
	failureCount int
	keys         map[string]keyState
	allowed      map[string][]string
}

// keyState is what the callers know of one key.
type keyState string

const (
	keyAcknowledged keyState = "acknowledged"
	keyNotRun       keyState = "not-run"
	keyUnknown      keyState = "unknown"
)

// NewResult returns an empty result; the functions map VMs to availability zones and these to regions.
func NewResult(regionOf, zoneOf func(string) string) *Result {
	return &Result{regionOf: regionOf, zoneOf: zoneOf, rows: map[string]*Row{}, keys: map[string]keyState{}, allowed: map[string][]string{}}
}

// Rows returns the figures by name.
func (r *Result) Rows() []*Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]*Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *Row) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// Failures returns descriptions of the first failures, and the number of all.
func (r *Result) Failures() ([]string, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.failures), r.failureCount
}

func (r *Result) record(name string, answer Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(name)
	row.Requests++
	row.Refusals += answer.Refusals
	if err != nil {
		row.Failed++
		r.fail(name + ": " + err.Error())
		return
	}
	row.Answered++
	if r.regionOf(r.zoneOf(answer.UpstreamVM)) != r.regionOf(answer.EntryZone) {
		row.Remote++
	}
	_ = row.firstToken.RecordValue(max(latencyFloor, answer.FirstToken.Microseconds()))
	_ = row.whole.RecordValue(max(latencyFloor, answer.Whole.Microseconds()))
}

func (r *Result) row(name string) *Row {
	row, ok := r.rows[name]
	if !ok {
		row = &Row{
			Name:       name,
			firstToken: hdrhistogram.New(latencyFloor, latencyCeiling, latencyDigits),
			whole:      hdrhistogram.New(latencyFloor, latencyCeiling, latencyDigits),
		}
		r.rows[name] = row
	}
	return row
}

func (r *Result) fail(text string) {
	r.failureCount++
	if len(r.failures) < failuresKept {
		r.failures = append(r.failures, text)
	}
}

func (r *Result) setKey(key string, state keyState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[key] = state
}

// allow notes the availability zones in which a key may be executed.
func (r *Result) allow(key string, zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowed[key] = zones
}
