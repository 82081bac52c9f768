package estimator_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/estimator"
)

// A report from before a request was sent hides neither that request nor those that other VMs sent meanwhile.
func Example() {
	now := time.Unix(100, 0)
	e := estimator.New(estimator.Config{Senders: 2})
	u := estimator.Upstream{Name: "runner-1", Zone: "akl-a", Incarnation: 1}
	e.Step(now, estimator.UpstreamAdded{Upstream: u, Models: []string{"cordsage-7"}, BatchLimit: 16})
	e.Step(now, estimator.RequestSent{Upstream: u, RequestID: "a", PromptTokens: 900})
	e.Step(now, estimator.LoadReport{Upstream: u, At: now.Add(-time.Second), Running: 3})
	load, _ := e.Load(now, "runner-1")
	fmt.Println(load.InFlight, load.Outstanding)
	// Output: 1 3.5
}
