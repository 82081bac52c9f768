package session

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatency and maxLatency limit the recorded latencies, in microseconds.
	minLatency    = 1
	maxLatency    = int64(2 * time.Minute / time.Microsecond)
	latencyDigits = 3
	median        = 50.0
	tail          = 99.0
	// maxFailures limits the failures that are printed.
	maxFailures = 20
)

// Row holds the metrics of one kind of request.
type Row struct {
	Name     string
	Requests int
	Answered int
	Retries  int
	Failed   int
	// Remote counts the responses from an upstream in another region than the entry VM.
	Remote     int
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// Latency holds the median and the 99th percentile of a latency.
type Latency struct {
	Median time.Duration
	Tail   time.Duration
}

// FirstToken returns the latency to the first token.
func (r *Row) FirstToken() Latency {
	return latencyFrom(r.firstToken)
}

// Total returns the latency to the end of the response.
func (r *Row) Total() Latency {
	return latencyFrom(r.total)
}

func latencyFrom(histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Latency{Median: at(median), Tail: at(tail)}
}

// Result collects the responses and failures of a session.
type Result struct {
	regionOf func(zone string) string
	zoneOf   func(vm string) string

	mu           sync.Mutex
	rows         map[string]*Row
	failures     []string
	failureCount int
	keyStates    map[string]keyState // by idempotency key
	allowedZones map[string][]string // by idempotency key
}

// keyState is the outcome of a key as its caller knows it.
type keyState string

const (
	keyAcknowledged keyState = "acknowledged"
	keyNotRun       keyState = "not-run"
	keyUnknown      keyState = "unknown"
)

// NewResult returns an empty result; zoneOf maps a VM to its availability zone, and regionOf a zone to its region.
func NewResult(regionOf, zoneOf func(string) string) *Result {
	return &Result{regionOf: regionOf, zoneOf: zoneOf, rows: map[string]*Row{}, keyStates: map[string]keyState{}, allowedZones: map[string][]string{}}
}

// Rows returns the metrics, sorted by name.
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

// Failures returns descriptions of the first failures, and the total number of failures.
func (r *Result) Failures() ([]string, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.failures), r.failureCount
}

func (r *Result) record(name string, response Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(name)
	row.Requests++
	row.Retries += response.Retries
	if err != nil {
		row.Failed++
		r.addFailure(name + ": " + err.Error())
		return
	}
	row.Answered++
	if r.regionOf(r.zoneOf(response.UpstreamVM)) != r.regionOf(response.EntryZone) {
		row.Remote++
	}
	_ = row.firstToken.RecordValue(max(minLatency, response.FirstToken.Microseconds()))
	_ = row.total.RecordValue(max(minLatency, response.Total.Microseconds()))
}

func (r *Result) row(name string) *Row {
	row, ok := r.rows[name]
	if !ok {
		row = &Row{
			Name:       name,
			firstToken: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
			total:      hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		}
		r.rows[name] = row
	}
	return row
}

func (r *Result) addFailure(text string) {
	r.failureCount++
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, text)
	}
}

func (r *Result) setKeyState(key string, state keyState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keyStates[key] = state
}

// setAllowedZones records the availability zones in which a key may be executed.
func (r *Result) setAllowedZones(key string, zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowedZones[key] = zones
}
