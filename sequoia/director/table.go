package director

import (
	"net"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is an index of the routes and services of one document.
type Table struct {
	Version  uint64
	Limits   Limits
	routes   map[string][]Route
	services map[string]Service
}

// NewTable returns the table of a document that passed Validate.
func NewTable(document *Document) *Table {
	t := &Table{
		Version: document.Version, Limits: document.Limits,
		routes: map[string][]Route{}, services: map[string]Service{},
	}
	for _, service := range document.Services {
		t.services[service.Name] = service
	}
	for _, route := range document.Routes {
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, routes := range t.routes {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// FindRoute returns the route of the host with the longest prefix that matches the path.
func (t *Table) FindRoute(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns the sorted names of all services.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HomeRegions returns the regions that all routes of a host with home regions have in common; empty means all regions.
func (t *Table) HomeRegions(host string) []string {
	var homes []string
	for _, route := range t.routes[strings.ToLower(host)] {
		if len(route.HomeRegions) == 0 {
			continue
		}
		if homes == nil {
			homes = route.HomeRegions
			continue
		}
		homes = intersect(homes, route)
	}
	return homes
}

// HomeKind classifies what a document says about the home regions of a host.
type HomeKind string

// Kinds of home regions.
const (
	// HomesKnown means that the routes of the host with home regions have some in common.
	HomesKnown HomeKind = "known"
	// HomesUnrestricted means that no route of the host has home regions.
	HomesUnrestricted HomeKind = "unrestricted"
	// HomesNothingInCommon means that the routes of the host have home regions, but none in common.
	HomesNothingInCommon HomeKind = "nothing-in-common"
	// HomesNoRoute means that the document has no route of the host.
	HomesNoRoute HomeKind = "no-route"
	// HomesNoDocument means that there is no document yet.
	HomesNoDocument HomeKind = "no-document"
	// HomesUndecodable means that the document cannot be decoded.
	HomesUndecodable HomeKind = "undecodable"
)

// HomeKind returns what the document says about the home regions of a host. It does not rest on HomeRegions, so that a
// log shows where the two differ.
func (t *Table) HomeKind(host string) HomeKind {
	routes := t.routes[strings.ToLower(host)]
	if len(routes) == 0 {
		return HomesNoRoute
	}
	counts := map[string]int{}
	restricted := 0
	for _, route := range routes {
		if len(route.HomeRegions) == 0 {
			continue
		}
		restricted++
		for _, home := range slices.Compact(slices.Sorted(slices.Values(route.HomeRegions))) {
			counts[home]++
		}
	}
	if restricted == 0 {
		return HomesUnrestricted
	}
	for _, count := range counts {
		if count == restricted {
			return HomesKnown
		}
	}
	return HomesNothingInCommon
}

func intersect(homes []string, route Route) []string {
	var shared []string
	for _, home := range homes {
		if route.AllowsRegion(home) {
			shared = append(shared, home)
		}
	}
	return shared
}

// PickService returns the service for a request by weight. Equal keys map to the same service, so that retries and the
// turns of a conversation stay together.
func (r Route) PickService(key string) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	point := int(xxhash.Sum64String(r.Name+"/"+key) % uint64(max(total, 1)))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return ""
}
