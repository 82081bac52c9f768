package director

import (
	"net"
	"slices"
	"strings"
)

// HomeKind classifies what is known about the home regions of a host.
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

// Homes holds the regions that may process the requests of a host. The zero value allows no region, as do all kinds
// that say that the home regions are unknown.
type Homes struct {
	Kind HomeKind
	// Regions are the allowed regions, sorted. For HomesNothingInCommon they are those that most of the routes with
	// home regions allow. HomesUnrestricted needs none.
	Regions []string
}

// Allows reports whether a region may process requests of the host.
func (h Homes) Allows(region string) bool {
	return h.Kind == HomesUnrestricted || slices.Contains(h.Regions, region)
}

// Homes returns the home regions of a host. A caller looks up a host without a path, so all its routes count.
func (t *Table) Homes(host string) Homes {
	routes := t.routes[hostKey(host)]
	if len(routes) == 0 {
		return Homes{Kind: HomesNoRoute}
	}
	restricted := 0
	counts := map[string]int{}
	for _, route := range routes {
		if len(route.HomeRegions) == 0 {
			continue
		}
		restricted++
		for _, region := range slices.Compact(slices.Sorted(slices.Values(route.HomeRegions))) {
			counts[region]++
		}
	}
	if restricted == 0 {
		return Homes{Kind: HomesUnrestricted}
	}
	regions, count := mostCounted(counts)
	if count < restricted {
		return Homes{Kind: HomesNothingInCommon, Regions: regions}
	}
	return Homes{Kind: HomesKnown, Regions: regions}
}

// mostCounted returns the regions with the highest count, sorted, and that count.
func mostCounted(counts map[string]int) ([]string, int) {
	highest := 0
	for _, count := range counts {
		highest = max(highest, count)
	}
	var regions []string
	for region, count := range counts {
		if count == highest {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions, highest
}

// hostKey returns a host without its port, in lower case.
func hostKey(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
