package enforcer_test

import (
	"fmt"

	"sequoiaspread.example/sequoia/enforcer"
)

func Example() {
	e := enforcer.New(enforcer.Config{Sources: []string{"peer", "controller"}})
	for _, document := range []enforcer.Document{{Version: 7, Text: []byte("seven")}, {Version: 6, Text: []byte("six")}} {
		updated, err := e.Offer(document)
		fmt.Println(updated, err, e.Current().Version)
	}
	e.RecordResponse("controller", true)
	fmt.Println(e.Ready())
	e.RecordResponse("peer", false)
	fmt.Println(e.Ready())
	// Output:
	// true <nil> 7
	// false <nil> 7
	// false
	// true
}
