package fleetserver

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryVMTimeout is the time without a heartbeat after which a coordinator takes an entry VM for lost. It covers two lost
// heartbeats.
const EntryVMTimeout = 2 * time.Second

// Table holds the entry VMs that sent a heartbeat within the timeout. What it returns is kept from one heartbeat to the
// next and updated by what has changed, since each VM of the fleet sends one to each coordinator.
type Table struct {
	timeout time.Duration
	rows    map[string]row
	regions map[string]*regionSum
	// live is sorted by name; it is nil after a change.
	live []EntryVM
	// fleet is the last one returned; it is outdated if its VMs are not live.
	fleet Fleet
	// earlier holds the latest fleets before it, the newest last, and updates the changes since those that were asked for.
	earlier []Fleet
	updates map[uint64]Fleet
}

// maxEarlierFleets limits the earlier fleets that are kept. A VM that has an older one gets the whole fleet.
const maxEarlierFleets = 64

type row struct {
	vm       EntryVM
	loads    Loads
	lastSeen time.Time
}

// NewTable returns an empty table. An entry VM without a heartbeat for the timeout is removed.
func NewTable(timeout time.Duration) *Table {
	return &Table{timeout: timeout, rows: map[string]row{}, regions: map[string]*regionSum{}}
}

// Record stores a heartbeat. It returns false if the VM has to send its description first.
func (t *Table) Record(now time.Time, heartbeat Heartbeat) bool {
	known, ok := t.rows[heartbeat.Name]
	next := row{vm: known.vm, loads: heartbeat.Loads, lastSeen: now}
	if heartbeat.EntryVM != nil {
		next.vm = *heartbeat.EntryVM
	} else if !ok {
		return false
	}
	next.vm.Stopping = heartbeat.Stopping
	if ok {
		t.regionOf(known.vm).add(known.loads, -1)
	}
	t.regionOf(next.vm).add(next.loads, 1)
	if !ok || next.vm != known.vm {
		t.live = nil
	}
	t.rows[heartbeat.Name] = next
	return true
}

// EntryVM returns the description of a VM.
func (t *Table) EntryVM(name string) (EntryVM, bool) {
	known, ok := t.rows[name]
	return known.vm, ok
}

// Live returns the entry VMs that sent a heartbeat within the timeout, sorted by name. The caller must not change them.
func (t *Table) Live(now time.Time) []EntryVM {
	for name, row := range t.rows {
		if now.Sub(row.lastSeen) > t.timeout {
			t.regionOf(row.vm).add(row.loads, -1)
			delete(t.rows, name)
			t.live = nil
		}
	}
	if t.live == nil {
		vms := make(map[string]EntryVM, len(t.rows))
		for name, row := range t.rows {
			vms[name] = row.vm
		}
		t.live = sortedVMs(vms)
	}
	return t.live
}

// Fleet returns the live entry VMs and the coordinators, with a digest of both.
func (t *Table) Fleet(now time.Time, coordinators []netip.AddrPort) (Fleet, error) {
	live := t.Live(now)
	if t.fleet.Digest != 0 && sameSlice(live, t.fleet.EntryVMs) && slices.Equal(coordinators, t.fleet.Coordinators) {
		return t.fleet, nil
	}
	fleet := Fleet{EntryVMs: live, Coordinators: slices.Clone(coordinators)}
	data, err := json.Marshal(fleet)
	fleet.Digest = xxhash.Sum64(data)
	if t.fleet.Digest != 0 {
		t.earlier = append(t.earlier, t.fleet)
		t.earlier = t.earlier[max(0, len(t.earlier)-maxEarlierFleets):]
	}
	t.fleet, t.updates = fleet, map[uint64]Fleet{}
	return fleet, err
}

// updateSince returns what has changed since the fleet with a digest, or the whole fleet if that is not known.
func (t *Table) updateSince(digest uint64) Fleet {
	if update, ok := t.updates[digest]; ok {
		return update
	}
	i := slices.IndexFunc(t.earlier, func(fleet Fleet) bool { return fleet.Digest == digest })
	if i < 0 {
		return t.fleet
	}
	update := t.fleet.updateFrom(t.earlier[i])
	t.updates[digest] = update
	return update
}

// sameSlice reports whether two slices share their elements, so that they need not be compared.
func sameSlice(a, b []EntryVM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (t *Table) regionOf(vm EntryVM) *regionSum {
	sum, ok := t.regions[vm.Region]
	if !ok {
		sum = &regionSum{services: map[string]serviceSum{}}
		t.regions[vm.Region] = sum
	}
	return sum
}

// RegionLoads returns the load of each region.
func (t *Table) RegionLoads() map[string]Loads {
	regions := map[string]Loads{}
	for region, sum := range t.regions {
		if sum.vms > 0 {
			regions[region] = sum.loads()
		}
	}
	return regions
}

// regionSum sums the loads that the VMs of one region reported.
type regionSum struct {
	// vms is the number of VMs that reported any load.
	vms      int
	services map[string]serviceSum
}

// serviceSum sums the pressures of a service.
type serviceSum struct {
	// reports is the number of VMs that reported the service, vms the number of those that have a usable upstream for it,
	// and pressure the sum of theirs.
	reports, vms, pressure int
}

// add adds the loads of one VM with sign 1, and takes them back with sign -1.
func (s *regionSum) add(loads Loads, sign int) {
	if len(loads) == 0 {
		return
	}
	s.vms += sign
	for service, load := range loads {
		sum := s.services[service]
		sum.reports += sign
		if !load.unavailable() {
			sum.vms += sign
			sum.pressure += sign * load.Pressure
		}
		s.services[service] = sum
		if sum.reports == 0 {
			delete(s.services, service)
		}
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

// HeartbeatReply returns a reply with the fleet, if the VM does not have it yet, and the loads of all regions. The fleet
// is the one that Fleet returned last.
func (t *Table) HeartbeatReply(fleet Fleet, heartbeat Heartbeat) HeartbeatReply {
	reply := HeartbeatReply{RegionLoads: t.RegionLoads()}
	switch {
	case heartbeat.FleetDigest == fleet.Digest:
	case heartbeat.AppliesUpdates && fleet.Digest == t.fleet.Digest:
		update := t.updateSince(heartbeat.FleetDigest)
		reply.Fleet = &update
	default:
		reply.Fleet = &fleet
	}
	return reply
}
