package retrier_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/retrier"
)

// A request that has not run is retried; one that may have run and is not idempotent is not.
func Example() {
	now := time.Unix(100, 0)
	r := retrier.New(retrier.Config{})
	r.Step(now, retrier.Started{})
	fmt.Println(r.Decide(now, retrier.Failure{Outcome: retrier.OutcomeNotRun, Attempt: 1}, 0.5))
	fmt.Println(r.Decide(now, retrier.Failure{Outcome: retrier.OutcomeUnknown, Attempt: 1}, 0.5))
	// Output:
	// {true 25ms allowed}
	// {false 0s may-have-run}
}
