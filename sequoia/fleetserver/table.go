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

// RegionLoads returns the load of each region, which is the mean of the loads reported by its VMs.
func (t *Table) RegionLoads() map[string]Loads {
	regions := map[string]Loads{}
	counts := map[string]int{}
	for _, row := range t.rows {
		region := row.vm.Region
		if len(row.loads) == 0 {
			continue
		}
		counts[region]++
		if regions[region] == nil {
			regions[region] = Loads{}
		}
		for service, load := range row.loads {
			regions[region][service] = Load{Pressure: regions[region][service].Pressure + load.Pressure}
		}
	}
	for region, loads := range regions {
		for service, sum := range loads {
			loads[service] = Load{Pressure: sum.Pressure / counts[region]}
		}
	}
	return regions
}

// HeartbeatReply returns a reply with the fleet, if the VM does not have it yet, and the loads of all regions.
func (t *Table) HeartbeatReply(fleet Fleet, heartbeat Heartbeat) HeartbeatReply {
	reply := HeartbeatReply{RegionLoads: t.RegionLoads()}
	if heartbeat.FleetDigest != fleet.Digest {
		reply.Fleet = &fleet
	}
	return reply
}
