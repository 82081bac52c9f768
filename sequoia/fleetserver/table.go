package fleetserver

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table holds the entry VMs that sent a heartbeat within the timeout.
type Table struct {
	timeout time.Duration
	rows    map[string]row
}

type row struct {
	vm       EntryVM
	loads    Loads
	lastSeen time.Time
}

// NewTable returns an empty table. An entry VM without a heartbeat for the timeout is removed.
func NewTable(timeout time.Duration) *Table {
	return &Table{timeout: timeout, rows: map[string]row{}}
}

// Record stores a heartbeat. It returns false if the VM has to send its description first.
func (t *Table) Record(now time.Time, heartbeat Heartbeat) bool {
	known, ok := t.rows[heartbeat.Name]
	if heartbeat.EntryVM != nil {
		known.vm, ok = *heartbeat.EntryVM, true
	}
	if !ok {
		return false
	}
	known.vm.Stopping = heartbeat.Stopping
	known.loads = heartbeat.Loads
	known.lastSeen = now
	t.rows[heartbeat.Name] = known
	return true
}

// EntryVM returns the description of a VM.
func (t *Table) EntryVM(name string) (EntryVM, bool) {
	known, ok := t.rows[name]
	return known.vm, ok
}

// Live returns the entry VMs that sent a heartbeat within the timeout, sorted by name.
func (t *Table) Live(now time.Time) []EntryVM {
	live := make([]EntryVM, 0, len(t.rows))
	for name, row := range t.rows {
		if now.Sub(row.lastSeen) > t.timeout {
			delete(t.rows, name)
			continue
		}
		live = append(live, row.vm)
	}
	slices.SortFunc(live, func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Fleet returns the live entry VMs and the coordinators, with a digest of both.
func (t *Table) Fleet(now time.Time, coordinators []netip.AddrPort) (Fleet, error) {
	fleet := Fleet{EntryVMs: t.Live(now), Coordinators: coordinators}
	data, err := json.Marshal(fleet)
	fleet.Digest = xxhash.Sum64(data)
	return fleet, err
}

// RegionLoads returns the load of each region.
func (t *Table) RegionLoads() map[string]Loads {
	sums := map[string]*regionSum{}
	for _, row := range t.rows {
		if len(row.loads) == 0 {
			continue
		}
		sum, ok := sums[row.vm.Region]
		if !ok {
			sum = &regionSum{services: map[string]serviceSum{}}
			sums[row.vm.Region] = sum
		}
		sum.add(row.loads)
	}
	regions := map[string]Loads{}
	for region, sum := range sums {
		regions[region] = sum.loads()
	}
	return regions
}

// regionSum sums the loads that the VMs of one region reported.
type regionSum struct {
	vms      int
	services map[string]serviceSum
}

// serviceSum sums the pressures of a service over the VMs that have a usable upstream for it.
type serviceSum struct {
	vms, pressure int
}

func (s *regionSum) add(loads Loads) {
	s.vms++
	for service, load := range loads {
		sum := s.services[service]
		if !load.unavailable() {
			sum.vms++
			sum.pressure += load.Pressure
		}
		s.services[service] = sum
	}
}

// loads returns for each service the mean of the VMs that have a usable upstream. A single VM without one does not make
// the region unavailable; half of them do, since a forwarded request reaches any of them.
func (s *regionSum) loads() Loads {
	loads := Loads{}
	for service, sum := range s.services {
		if 2*sum.vms <= s.vms {
			loads[service] = unavailableLoad
			continue
		}
		loads[service] = Load{Pressure: sum.pressure / sum.vms}
	}
	return loads
}

// HeartbeatReply returns a reply with the fleet, if the VM does not have it yet, and the loads of all regions.
func (t *Table) HeartbeatReply(fleet Fleet, heartbeat Heartbeat) HeartbeatReply {
	reply := HeartbeatReply{RegionLoads: t.RegionLoads()}
	if heartbeat.FleetDigest != fleet.Digest {
		reply.Fleet = &fleet
	}
	return reply
}
