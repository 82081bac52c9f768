package answerer

import (
	"sync"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

const (
	// regionLoadMaxAge is the age from which the load of a region counts as unknown.
	regionLoadMaxAge = 3 * time.Second
	// unknownPressure is the pressure of a region whose load is unknown. Requests are late from there on, so it gets only
	// those that have no better place.
	unknownPressure = 1.0
	// regionRefusalBackoff is how long a service counts as unavailable in a region where a VM refused a request for want
	// of an upstream.
	regionRefusalBackoff = 300 * time.Millisecond
)

// regionLoads holds the loads of the regions. Coordinators that are partitioned from a region do not know its load, and
// all of them may be out of reach; a region that is not known must not look idle.
type regionLoads struct {
	mu      sync.Mutex
	regions map[string]regionLoad
	// refusedUntil holds until when a service of a region counts as unavailable.
	refusedUntil map[regionService]time.Time
}

// regionLoad is the load of one region as a coordinator last reported it.
type regionLoad struct {
	loads      fleetserver.Loads
	receivedAt time.Time
}

// regionService is one service in one region.
type regionService struct {
	region, service string
}

func newRegionLoads() *regionLoads {
	return &regionLoads{regions: map[string]regionLoad{}, refusedUntil: map[regionService]time.Time{}}
}

// set replaces the loads of the given regions and keeps those of the others.
func (r *regionLoads) set(now time.Time, loads map[string]fleetserver.Loads) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for region, each := range loads {
		r.regions[region] = regionLoad{loads: each, receivedAt: now}
	}
}

// recordRefusal records that a VM of a region had no upstream for a service.
func (r *regionLoads) recordRefusal(now time.Time, region, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedUntil[regionService{region, service}] = now.Add(regionRefusalBackoff)
}

// pressure returns the pressure of a service in a region. A service that a known region does not report has no upstream
// there.
func (r *regionLoads) pressure(now time.Time, region, service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.refusedUntil[regionService{region, service}]) {
		return dispatcher.UnavailablePressure
	}
	known, ok := r.regions[region]
	if !ok || now.Sub(known.receivedAt) > regionLoadMaxAge {
		return unknownPressure
	}
	load, ok := known.loads[service]
	if !ok {
		return dispatcher.UnavailablePressure
	}
	return float64(load.Pressure) / fleetserver.PressureScale
}
