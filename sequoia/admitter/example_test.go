package admitter_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/admitter"
	"sequoiaspread.example/sequoia/parser"
)

// With one slot, the second request is admitted when the first has ended.
func Example() {
	now := time.Unix(0, 0)
	target := parser.Duration{Duration: 10 * time.Second}
	ranks := []parser.Rank{{Name: "urgent", FirstTokenTarget: target, GuaranteedShare: 1, QueueLimit: 8, MaxWait: target}}
	a := admitter.New(admitter.Config{Ranks: ranks})
	a.Step(now, admitter.Capacity{Slots: 1})
	fmt.Println(a.Step(now, admitter.AdmissionRequest{RequestID: "a", Organisation: "kiosks", Work: 100}))
	fmt.Println(a.Step(now, admitter.AdmissionRequest{RequestID: "b", Organisation: "kiosks", Work: 100}))
	fmt.Println(a.Step(now.Add(time.Second), admitter.Done{RequestID: "a"}))
	// Output:
	// [{a 0 0s}]
	// []
	// [{b 0 1s}]
}
