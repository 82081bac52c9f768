package answerer

import (
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// SetFleet replaces the live entry VMs of all regions.
func (a *Answerer) SetFleet(fleet []fleetserver.EntryVM) {
	var members []dispatcher.Member
	var otherRegions []fleetserver.EntryVM
	sameRegion := map[string]fleetserver.EntryVM{}
	for _, entry := range fleet {
		if entry.Region != a.config.Self.Region {
			if !entry.Stopping {
				otherRegions = append(otherRegions, entry)
			}
			continue
		}
		members = append(members, dispatcher.Member{Name: entry.Name, Zone: entry.Zone})
		if entry.Name != a.config.Self.Name {
			sameRegion[entry.Name] = entry
		}
	}
	a.reachability.retain(fleet)
	a.otherRegionVMs.Store(&otherRegions)
	a.sameRegionVMs.Store(&sameRegion)
	a.fleetSize.Store(int64(max(1, len(fleet))))
	a.quota.setFleetSize(len(fleet))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.SetFleet(time.Now(), members)
}

// ConfirmFleet records that a coordinator which knows this VM replied to a heartbeat that was sent at the given time.
func (a *Answerer) ConfirmFleet(sentAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentAt.After(a.fleetConfirmedAt) {
		a.fleetConfirmedAt = sentAt
		a.dispatcher.SetFleetExpiry(sentAt.Add(fleetserver.EntryVMTimeout))
	}
}

// owner returns the entry VM of this region that sends long prefills for the prefix of a request, unless that is this
// VM or it is unavailable.
func (a *Answerer) owner(request dispatcher.Request) (fleetserver.EntryVM, bool) {
	a.mu.Lock()
	name, ok := a.dispatcher.Owner(time.Now(), request)
	a.mu.Unlock()
	if !ok {
		return fleetserver.EntryVM{}, false
	}
	return a.reachableVM(name)
}

// sender returns another entry VM of this region that may send a request to an upstream with a rate limit.
func (a *Answerer) sender(request dispatcher.Request, excluded []string) (fleetserver.EntryVM, bool) {
	a.mu.Lock()
	name, ok := a.dispatcher.Sender(time.Now(), request, excluded)
	a.mu.Unlock()
	if !ok {
		return fleetserver.EntryVM{}, false
	}
	return a.reachableVM(name)
}

// recordBusySender records that an entry VM refused a request which was forwarded to it as a sender.
func (a *Answerer) recordBusySender(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.RecordBusySender(time.Now(), name)
}

// reachableVM returns another entry VM of this region, unless it is stopping or accepted no connection lately.
func (a *Answerer) reachableVM(name string) (fleetserver.EntryVM, bool) {
	entry, known := (*a.sameRegionVMs.Load())[name]
	if !known || entry.Stopping || len(a.reachability.usable(time.Now(), entry.Region, []fleetserver.EntryVM{entry})) == 0 {
		return fleetserver.EntryVM{}, false
	}
	return entry, true
}

// FleetSize returns the number of live entry VMs of the whole fleet, including this one.
func (a *Answerer) FleetSize() int {
	return int(a.fleetSize.Load())
}
