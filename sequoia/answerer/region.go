package answerer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// shouldSpill decides whether a request spills over to a region with the given pressure.
func (a *Answerer) shouldSpill(service string, remotePressure float64) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	spillover, ok := a.spillovers[service]
	if !ok {
		spillover = &dispatcher.Spillover{}
		a.spillovers[service] = spillover
	}
	localPressure := a.dispatcher.Usage(now, service).Pressure()
	spill := randomFraction() < spillover.Fraction(now, localPressure, remotePressure)
	spillover.Record(now, spill)
	return spill
}

// target is another entry VM that a request may be forwarded to.
type target struct {
	name     string
	region   string
	address  netip.AddrPort
	pressure float64
}

// triedTargets holds where a request was forwarded to: the VMs, and the regions that refused it or did not answer, of
// which no other VM is tried.
type triedTargets struct {
	vms, regions []string
}

func (t triedTargets) contains(entry fleetserver.EntryVM) bool {
	return slices.Contains(t.vms, entry.Name) || slices.Contains(t.regions, entry.Region)
}

// selectRemote returns a random reachable entry VM of the allowed region with the lowest pressure, or false if there is
// none.
func (a *Answerer) selectRemote(allows func(region string) bool, service string, tried triedTargets) (target, bool) {
	now := time.Now()
	regions := map[string][]fleetserver.EntryVM{}
	for _, entry := range *a.otherRegionVMs.Load() {
		if allows(entry.Region) && !tried.contains(entry) {
			regions[entry.Region] = append(regions[entry.Region], entry)
		}
	}
	var best target
	for region, entries := range regions {
		usable := a.reachability.usable(now, region, entries)
		if len(usable) == 0 {
			continue
		}
		pressure := a.regionLoads.pressure(now, region, service)
		if best.name == "" || pressure < best.pressure {
			chosen := usable[rand.IntN(len(usable))]
			best = target{name: chosen.Name, region: region, address: chosen.PeerAddress, pressure: pressure}
		}
	}
	return best, best.name != ""
}
