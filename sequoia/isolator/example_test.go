package isolator_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/isolator"
)

// A request that crashes its upstream gets one trial on an upstream for itself, and is refused if it crashes that too.
func Example() {
	now := time.Unix(0, 0)
	iso := isolator.New()
	f := isolator.Fingerprint{1}
	for attempt := range 2 {
		u := isolator.Upstream{Name: fmt.Sprint("runner-", attempt), Zone: "akl-a"}
		verdict := iso.Evaluate(now, f)
		fmt.Println(verdict.Kind)
		iso.Step(now, isolator.Started{RequestID: "a", Fingerprint: f, Upstream: u, Exclusive: verdict.Kind == isolator.VerdictExclusive})
		iso.Step(now, isolator.Crashed{Upstream: u})
	}
	fmt.Println(iso.Evaluate(now, f).Kind)
	// Output:
	// free
	// alone
	// refuse
}
