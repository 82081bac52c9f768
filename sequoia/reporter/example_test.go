package reporter_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/reporter"
)

func Example() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	key := reporter.Key{Service: "assist", Rank: "urgent"}
	r := reporter.New(reporter.Config{VM: "a-1"})
	for i := range 100 {
		r.Observe(now, reporter.Event{Key: key, Good: i >= 10})
	}
	buckets := r.Tick(now.Add(time.Minute))
	report := reporter.NewReport(now.Add(2*time.Minute), []reporter.Objective{{Key: key, Share: 0.95}}, buckets)
	fmt.Printf("burn rate %.1f\n", report.Lines[0].Burns[0].Rate)
	// Output:
	// burn rate 2.0
}
