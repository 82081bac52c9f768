package promoter_test

import (
	"fmt"

	"sequoiaspread.example/sequoia/promoter"
)

func Example() {
	p := promoter.New(promoter.Config{}, promoter.Genesis{Version: 1, Text: []byte("first")})
	for _, operator := range []string{"ann", "bob"} {
		outcome := p.Apply(promoter.Command{RequestID: operator, Promote: &promoter.Promote{
			Version: 2, Text: []byte("of " + operator), Operator: operator, WithoutTrial: true,
		}})
		fmt.Printf("%s: %q\n", outcome.Result, outcome.Reason)
	}
	text, version := p.Document()
	fmt.Println(version, string(text))
	// Output:
	// accepted: ""
	// conflict: "version 2 was promoted by ann"
	// 2 of ann
}
