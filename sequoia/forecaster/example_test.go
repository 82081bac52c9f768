package forecaster_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/forecaster"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key := forecaster.Key{Model: "chat", Zone: "a"}
	f := forecaster.New(forecaster.Config{})
	f.Step(now, forecaster.Capacity{Key: key, PerUpstream: 1000, ColdStart: time.Minute, MinUpstreams: 1})
	f.Step(now, forecaster.Demand{Key: key, Rate: 4500})
	fmt.Println(f.Tick(now)[0].(forecaster.DesiredReplicas).Count)
	// Output:
	// 5
}
