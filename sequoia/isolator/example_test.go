package isolator_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/isolator"
)

// A request that crashes its upstream is tried alone once, and refused after that crash too.
func Example() {
	now := time.Unix(0, 0)
	s := isolator.New()
	f := isolator.Fingerprint{1}
	for attempt := range 2 {
		u := isolator.Upstream{Name: fmt.Sprint("runner-", attempt), Zone: "akl-a"}
		verdict := s.Evaluate(now, f)
		fmt.Println(verdict.Kind)
		s.Step(now, isolator.Started{RequestID: "a", Fingerprint: f, Upstream: u, Exclusive: verdict.Kind == isolator.VerdictExclusive})
		s.Step(now, isolator.Crashed{Upstream: u})
	}
	fmt.Println(s.Evaluate(now, f).Kind)
	// Output:
	// free
	// alone
	// refuse
}
