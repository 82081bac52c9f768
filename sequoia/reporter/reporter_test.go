package reporter

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against counting a bucket twice when two controllers hold it, against gaps that are not reported, and against
// a wrong burn rate.
func TestReport(t *testing.T) {
	urgent := Key{Service: "assist", Rank: "urgent"}
	var buckets []Bucket
	for _, vm := range []string{"a-1", "a-2"} {
		r := New(Config{VM: vm})
		for minute := range 90 {
			now := epoch.Add(time.Duration(minute) * time.Minute)
			if vm == "a-2" && minute >= 60 && minute < 75 {
				continue
			}
			for i := range 20 {
				buckets = append(buckets, r.Observe(now, Event{Key: urgent, Good: i > 0 || minute < 80})...)
			}
		}
	}
	// The same buckets from a second controller.
	buckets = append(buckets, buckets[:100]...)
	report := NewReport(epoch.Add(90*time.Minute), []Objective{{Key: urgent, Share: 0.95}}, buckets)
	text, err := json.MarshalIndent(report, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "report.golden")
}

// Guards against a bucket that is completed twice or lost when the clock steps back.
func TestClockStep(t *testing.T) {
	r := New(Config{VM: "a-1"})
	event := Event{Key: Key{Service: "s", Rank: "r"}, Good: true}
	r.Observe(epoch.Add(10*time.Minute), event)
	assert.Equal(t, len(r.Observe(epoch, event)), 0)
	completed := r.Tick(epoch.Add(11 * time.Minute))
	assert.Equal(t, len(completed), 2)
	assert.Equal(t, completed[1].Good, uint64(2))
}
