package director

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is an index of the routes, services and organisations of one document.
type Table struct {
	Version       uint64
	Limits        Limits
	routes        map[string][]Route
	services      map[string]Service
	organisations organisationIndex
}

// NewTable returns the table of a document that passed Validate.
func NewTable(document *Document) *Table {
	t := &Table{
		Version: document.Version, Limits: document.Limits,
		routes: map[string][]Route{}, services: map[string]Service{},
		organisations: newOrganisationIndex(document.Organisations),
	}
	for _, service := range document.Services {
		t.services[service.Name] = service
	}
	for _, route := range document.Routes {
		host := hostKey(route.Host)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, routes := range t.routes {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// FindRoute returns the route of the host with the longest prefix that matches the path.
func (t *Table) FindRoute(host, path string) (Route, bool) {
	for _, route := range t.routes[hostKey(host)] {
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
