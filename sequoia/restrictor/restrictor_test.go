package restrictor

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/sequoia/parser"
)

func testDocument() *parser.Document {
	return &parser.Document{
		Regions: []parser.Region{
			{Name: "lower", Zones: []string{"cairo-a", "alex-a"}},
			{Name: "upper", Zones: []string{"aswan-a"}},
		},
		Services:      []parser.Service{{Name: "core"}, {Name: "chat"}},
		Organisations: []parser.Organisation{{Name: "aswan"}, {Name: "cairo"}},
		ResidencyRules: []parser.ResidencyRule{
			{Name: "stay", Organisations: []string{"aswan"}, Services: []string{"core"}, Regions: []string{"upper"}},
		},
	}
}

// Guards against a purpose for which the rules are not applied, and against a caller's restriction widening them.
func TestMatrix(t *testing.T) {
	cases := []struct {
		fault   string
		subject Subject
		allowed []string
	}{
		{"rule", Subject{"aswan", "core", nil}, []string{"aswan-a"}},
		{"other-service", Subject{"aswan", "chat", nil}, []string{"cairo-a", "alex-a", "aswan-a"}},
		{"narrowed", Subject{"cairo", "core", []string{"alex-a"}}, []string{"alex-a"}},
		{"widening", Subject{"aswan", "core", []string{"lower", "upper"}}, []string{"aswan-a"}},
		{"no-place-left", Subject{"aswan", "core", []string{"lower"}}, nil},
		{"unknown-organisation", Subject{"nobody", "core", nil}, nil},
		{"unknown-service", Subject{"cairo", "none", nil}, nil},
	}
	r := New(testDocument())
	for _, purpose := range []Purpose{PurposeRequest, PurposeRetry, PurposeForward, PurposeRecord, PurposeLog} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("residency/%s/%s", purpose, c.fault), func(t *testing.T) {
				for _, zone := range []string{"cairo-a", "alex-a", "aswan-a", "elsewhere"} {
					err := r.Check(c.subject, purpose, zone)
					assert.Equal(t, err == nil, slices.Contains(c.allowed, zone), zone)
					var refused *Error
					assert.Assert(t, err == nil || errors.As(err, &refused))
				}
			})
		}
	}
}

func Example() {
	r := New(testDocument())
	subject := Subject{Organisation: "aswan", Service: "core"}
	fmt.Println(r.AllowedZones(subject))
	fmt.Println(r.Check(subject, PurposeForward, "cairo-a"))
	// Output:
	// [aswan-a]
	// send forward to cairo-a: refused by residency
}
