package registrar_test

import (
	"fmt"

	"sequoiaspread.example/sequoia/registrar"
)

func Example() {
	r := registrar.New()
	r.Apply(registrar.Command{ID: "1", Put: &registrar.Put{Version: 4, Text: []byte("four")}})
	r.Apply(registrar.Command{ID: "2", Put: &registrar.Put{Version: 2, Text: []byte("two")}})
	fmt.Println(r.State().Version, string(r.State().Text))
	// Output: 4 four
}
