package answerer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// hundredths are the unit in which pressure is told to other regions.
const hundredths = 100

// crosses decides whether a request crosses to a region with the given pressure.
func (a *Answerer) crosses(service string, there float64) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	crosser, ok := a.crossers[service]
	if !ok {
		crosser = &dispatcher.Spillover{}
		a.crossers[service] = crosser
	}
	here := a.dispatcher.Usage(now, service).Pressure()
	crosses := spread() < crosser.Fraction(now, here, there)
	crosser.Record(now, crosses)
	return crosses
}

// target is another entry VM that a request may be forwarded to.
type target struct {
	name     string
	region   string
	address  netip.AddrPort
	pressure float64
}

// remote returns an entry VM of the allowed region that has most room, or false.
func (a *Answerer) remote(route director.Route, service string, excluded []string) (target, bool) {
	now := time.Now()
	regions := map[string][]fleetserver.EntryVM{}
	for _, entry := range *a.regions.Load() {
		if route.AllowsRegion(entry.Region) && !slices.Contains(excluded, entry.Region) {
			regions[entry.Region] = append(regions[entry.Region], entry)
		}
	}
	loads := *a.loads.Load()
	var best target
	for region, entries := range regions {
		usable := a.reach.usable(now, region, entries)
		if len(usable) == 0 {
			continue
		}
		there := float64(loads[region][service].Pressure) / hundredths
		if best.name == "" || there < best.pressure {
			chosen := usable[rand.IntN(len(usable))]
			best = target{name: chosen.Name, region: region, address: chosen.PeerAddress, pressure: there}
		}
	}
	return best, best.name != ""
}
