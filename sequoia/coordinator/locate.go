package coordinator

import (
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/locator"
)

// Locate returns the entry VMs that a caller should use: those of its region or, if none of them is live, those of the
// home regions of the host. While the home regions are unknown, no VM of another region is returned.
func (c *Coordinator) Locate(host, region, zone string) locator.List {
	now := time.Now()
	c.mu.Lock()
	live := c.fleet.Live(now)
	c.mu.Unlock()
	state := c.AppliedState()
	homes := c.config.Homes(state, host)
	candidates := usableVMs(live, func(vm fleetserver.EntryVM) bool { return vm.Region == region })
	if len(candidates) == 0 {
		candidates = usableVMs(live, func(vm fleetserver.EntryVM) bool { return homes.Allows(vm.Region) })
	}
	list := locator.New(locator.Config{Lifetime: c.config.Lifetime})
	list.SetVMs(now, candidates)
	answer := list.Locate(locator.Caller{Zone: zone, Region: region})
	c.recordAnswer(now, located{
		host: host, region: region, zone: zone, homes: homes, state: state, live: live, list: answer,
	})
	return answer
}

func usableVMs(live []fleetserver.EntryVM, include func(fleetserver.EntryVM) bool) []locator.VM {
	var vms []locator.VM
	for _, vm := range live {
		if !vm.Stopping && include(vm) {
			vms = append(vms, locator.VM{
				Name: vm.Name, Zone: vm.Zone, Region: vm.Region, Address: vm.CallerAddress, State: locator.StateLive,
			})
		}
	}
	return vms
}
