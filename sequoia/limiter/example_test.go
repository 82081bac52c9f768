package limiter_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/limiter"
)

// A runner that becomes ten times slower is first limited and then avoided, regardless of what it reports.
func Example() {
	now := time.Unix(0, 0)
	l := limiter.New(limiter.Config{Target: 29 * time.Millisecond, Objective: 0.95})
	u := limiter.Upstream{Name: "runner-1", Zone: "cairo-a", Incarnation: 1}
	l.Step(now, limiter.UpstreamAdded{Upstream: u, BatchLimit: 8})
	for range 4 {
		l.Step(now, limiter.Load{Upstream: u, Running: 8})
		l.Step(now, limiter.Tokens{Upstream: u, Interval: 250 * time.Millisecond, Count: 40})
		now = now.Add(limiter.Window)
		for _, effect := range l.Tick(now) {
			fmt.Printf("%T %v\n", effect, effect)
		}
	}
	// Output:
	// limiter.Changed {{runner-1 cairo-a 1} 4}
	// limiter.Changed {{runner-1 cairo-a 1} 2}
	// limiter.Changed {{runner-1 cairo-a 1} 1}
	// limiter.Slow {{runner-1 cairo-a 1} true}
}
