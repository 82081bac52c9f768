package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sequoiaspread.example/sequoia/tracker"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := tracker.Member{Name: "a-1", Zone: "a", Incarnation: 1}
	second := tracker.Member{Name: "a-2", Zone: "a", Incarnation: 1}
	t := tracker.New(tracker.Config{Self: first, Rand: rand.New(rand.NewPCG(1, 1))})
	t.Step(now, tracker.Roster{Members: []tracker.Member{first, second}})
	probe := t.Tick(now)[0].(tracker.SendProbe)
	fmt.Println("probe", probe.To)
	reply := tracker.ProbeReply{ID: probe.Probe.ID, From: "a-2", Updates: []tracker.Update{{Name: "a-2", Incarnation: 1, State: tracker.StateLive}}}
	t.Step(now, reply)
	for _, member := range t.Members() {
		fmt.Println(member.Name, member.State)
	}
	// Output:
	// probe a-2
	// a-1 live
	// a-2 live
}
