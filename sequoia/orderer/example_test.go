package orderer_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/orderer"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	target := orderer.Target{Upstream: "runner-1", Incarnation: 1, Model: "chat"}
	o := orderer.New(orderer.Config{HolderID: "controller-1"})
	o.Step(now, orderer.Plan{Assignments: []orderer.Assignment{{Target: target, State: orderer.ModelLoaded, ChecksFencingToken: true}}})
	o.Step(now, orderer.ModelObserved{Target: target, State: orderer.ModelUnloaded})
	o.Step(now, orderer.LeaseReply{Granted: true, FencingToken: 7, SentAt: now})
	for _, effect := range o.Tick(now) {
		fmt.Printf("%T\n", effect)
	}
	// Output:
	// orderer.Renew
	// orderer.Send
}
