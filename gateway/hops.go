package main

import (
	"strings"

	"sequoiaspread.example/sequoia/classifier"
)

const (
	headerHops = "Sequoia-Hops"
	// maxHops is the maximum length of the hop record of an accepted request.
	maxHops = 2
)

// hop is one gateway that forwarded a request.
type hop struct {
	zone string
	vm   string
}

// parseHops parses a hop record, a comma-separated list of zone/vm.
func parseHops(text string) ([]hop, bool) {
	if text == "" {
		return nil, true
	}
	var hops []hop
	for _, part := range strings.Split(text, ",") {
		zone, vm, ok := strings.Cut(strings.TrimSpace(part), "/")
		if !ok || zone == "" || vm == "" {
			return nil, false
		}
		hops = append(hops, hop{zone: zone, vm: vm})
	}
	return hops, true
}

func formatHops(hops []hop) string {
	parts := make([]string, 0, len(hops))
	for _, h := range hops {
		parts = append(parts, h.zone+"/"+h.vm)
	}
	return strings.Join(parts, ",")
}

// checkHops validates the hop record of a received request, regardless of what the sender checked.
func checkHops(text, zone string) ([]hop, error) {
	hops, ok := parseHops(text)
	if !ok || len(hops) == 0 {
		return nil, newRefusal("check hop record", classifier.CauseInvalidRequest, "the hop record is missing or not readable")
	}
	if len(hops) > maxHops {
		return nil, newRefusal("check hop record", classifier.CauseHopLimit, "")
	}
	if hasVisited(hops, zone) {
		return nil, newRefusal("check hop record", classifier.CauseLoop, "")
	}
	return hops, nil
}

func hasVisited(hops []hop, zone string) bool {
	for _, h := range hops {
		if h.zone == zone {
			return true
		}
	}
	return false
}
