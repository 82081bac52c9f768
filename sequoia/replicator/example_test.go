package replicator_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/replicator"
)

// A single voter elects itself, commits the no-op entry of its term, and then commits a proposal.
func Example() {
	membership := replicator.Membership{Voters: []replicator.MemberID{"a#1"}}
	r, err := replicator.New(replicator.Config{ID: "a#1"}, replicator.DurableState{
		State:    replicator.HardState{Term: 1, Commit: 1},
		Snapshot: replicator.Snapshot{Index: 1, Term: 1, Membership: membership},
	})
	if err != nil {
		panic(err)
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	effects := r.Tick(now)
	effects = append(effects, r.Tick(now.Add(time.Minute))...)
	effects = append(effects, r.Step(now, replicator.Propose{Ref: 1, Data: []byte("change")})...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case replicator.Save:
			fmt.Println("save: term", e.State.Term, "entries", len(e.Entries))
		case replicator.Apply:
			fmt.Println("apply:", e.Entries[0].Index, e.Entries[0].Kind)
		}
	}
	// Output:
	// save: term 2 entries 0
	// save: term 2 entries 1
	// apply: 2 start
	// save: term 2 entries 1
	// apply: 3 command
}
