package router_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/router"
)

// A request goes to the one of two runners that has its prompt cached.
func Example() {
	now := time.Unix(0, 0)
	r := router.New(router.Config{Zone: "cairo-a", Region: "lower-egypt"})
	first := router.Upstream{Name: "runner-1", Zone: "cairo-a", Incarnation: 1}
	second := router.Upstream{Name: "runner-2", Zone: "cairo-a", Incarnation: 1}
	for _, u := range []router.Upstream{first, second} {
		r.Step(now, router.UpstreamAdded{Upstream: u, Models: []string{"paws-chat"}, BatchLimit: 16})
	}
	prompt := []router.Digest{11, 12, 13}
	r.Step(now, router.CacheEvent{Upstream: second, Sequence: 1, Stored: prompt})
	choice := r.Route(now, &router.Request{
		ID:           "request-1",
		Model:        "paws-chat",
		PromptTokens: 200,
		Prefix:       prompt,
		AllowedZones: []string{"cairo-a"},
	})
	fmt.Println(choice.Kind, choice.Upstream.Name, choice.Reason, choice.Explanation.HitTokens)
	// Output: upstream runner-2 prefix-hit 192
}
