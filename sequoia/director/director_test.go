package director

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func validDocument() *Document {
	return &Document{
		Version:  1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "wide", Host: "x.example", Prefix: "/", Class: ClassSafe, Timeout: time.Second, Shares: []Share{{"a", 1}}},
			{Name: "deep", Host: "x.example", Prefix: "/deep/", Class: ClassUnsafe, Timeout: time.Second, Shares: []Share{{"b", 1}}},
		},
	}
}

// Guards against applying a document that contradicts itself.
func TestValidateFindsContradictions(t *testing.T) {
	assert.NilError(t, validDocument().Validate())
	for name, corrupt := range map[string]func(d *Document){
		"unknown service": func(d *Document) { d.Routes[0].Shares[0].Service = "c" },
		"same place":      func(d *Document) { d.Routes[1].Prefix = "/" },
		"same place, host in other case": func(d *Document) {
			d.Routes[1].Prefix, d.Routes[1].Host = "/", "X.Example"
		},
		"no weight":     func(d *Document) { d.Routes[0].Shares[0].Weight = 0 },
		"no shares":     func(d *Document) { d.Routes[0].Shares = nil },
		"no timeout":    func(d *Document) { d.Routes[0].Timeout = 0 },
		"open prefix":   func(d *Document) { d.Routes[0].Prefix = "/a" },
		"unknown class": func(d *Document) { d.Routes[0].Class = "odd" },
		"service twice": func(d *Document) { d.Services[1].Name = "a" },
	} {
		d := validDocument()
		corrupt(d)
		assert.ErrorContains(t, d.Validate(), "invalid", name)
	}
}

// Guards against a request being matched by a shorter prefix, or by the routes of another host.
func TestFindRoutePrefersLongestPrefix(t *testing.T) {
	table := NewTable(validDocument())
	route, ok := table.FindRoute("X.example:8144", "/deep/1")
	assert.Assert(t, ok)
	assert.Equal(t, route.Name, "deep")
	route, ok = table.FindRoute("x.example", "/deep")
	assert.Assert(t, ok)
	assert.Equal(t, route.Name, "wide")
	_, ok = table.FindRoute("y.example", "/deep/1")
	assert.Assert(t, !ok)
}

// Guards against a split that ignores its weights, or that moves the retries of a request to another service.
func TestPickServiceFollowsWeights(t *testing.T) {
	route := Route{Name: "r", Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 2000 {
		key := string(rune('a'+i%26)) + time.Duration(i).String()
		counts[route.PickService(key)]++
		assert.Equal(t, route.PickService(key), route.PickService(key))
	}
	assert.Equal(t, counts["c"], 0)
	assert.Assert(t, counts["b"] > 100 && counts["b"] < 300, "%v", counts)
}

// Guards against callers being sent to a region that may not process one of the routes of their host.
func TestHomeRegionsAreCommonToAllRoutes(t *testing.T) {
	d := validDocument()
	d.Routes[0].HomeRegions = []string{"n", "s"}
	d.Routes[1].HomeRegions = []string{"s", "w"}
	assert.DeepEqual(t, NewTable(d).Homes("x.example"), Homes{Kind: HomesKnown, Regions: []string{"s"}})
}

// Guards against "no home regions" and "none in common" looking alike, also where a third route follows two without a
// common home.
func TestHomeKindTellsWhyNoHomeIsNamed(t *testing.T) {
	table := func(homes ...[]string) *Table {
		d := &Document{}
		for _, each := range homes {
			d.Routes = append(d.Routes, Route{Host: "X.example", HomeRegions: each})
		}
		return NewTable(d)
	}
	assert.Equal(t, table().Homes("x.example").Kind, HomesNoRoute)
	assert.Equal(t, table(nil, nil).Homes("x.example").Kind, HomesUnrestricted)
	assert.Equal(t, table([]string{"n", "s"}, nil, []string{"s", "s"}).Homes("x.example").Kind, HomesKnown)
	assert.Equal(t, table([]string{"n"}, []string{"s", "s"}).Homes("x.example").Kind, HomesNothingInCommon)
	assert.Equal(t, table([]string{"n"}, []string{"s"}, []string{"w"}).Homes("x.example").Kind, HomesNothingInCommon)
}

// Guards against routes of one host whose home regions have nothing in common being taken for routes without home
// regions, in whatever order they come.
func TestHomesWithNothingInCommonLeaveOutOtherRegions(t *testing.T) {
	chat, outer, inner := []string{"n", "s"}, []string{"n"}, []string{"s"}
	for _, order := range [][][]string{
		{chat, outer, inner}, {chat, inner, outer}, {outer, chat, inner}, {inner, chat, outer}, {outer, inner, chat}, {inner, outer, chat},
	} {
		d := &Document{Version: 1}
		for i, homes := range append(order, nil) {
			prefix := strings.Repeat("/p", 9-i) + "/"
			d.Routes = append(d.Routes, Route{Name: prefix, Host: "x.example", Prefix: prefix, HomeRegions: homes})
		}
		homes := NewTable(d).Homes("X.example:8144")
		assert.DeepEqual(t, homes, Homes{Kind: HomesNothingInCommon, Regions: []string{"n", "s"}})
		assert.Assert(t, homes.Allows("n") && homes.Allows("s") && !homes.Allows("w"))
	}
	assert.Assert(t, !(Homes{Kind: HomesNoDocument}).Allows("n"))
	assert.Assert(t, Homes{Kind: HomesUnrestricted}.Allows("w"))
}
