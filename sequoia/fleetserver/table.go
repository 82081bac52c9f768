package fleetserver

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table holds the entry VMs that reported lately.
type Table struct {
	timeout time.Duration
	rows    map[string]row
}

type row struct {
	entry EntryVM
	loads Loads
	seen  time.Time
}

// NewTable returns an empty table; an entry VM that is silent for the timeout is left out.
func NewTable(timeout time.Duration) *Table {
	return &Table{timeout: timeout, rows: map[string]row{}}
}

// Record takes in a report; it is false when the VM must describe itself first.
func (t *Table) Record(now time.Time, report Heartbeat) bool {
	known, ok := t.rows[report.Name]
	if report.EntryVM != nil {
		known.entry, ok = *report.EntryVM, true
	}
	if !ok {
		return false
	}
	known.entry.Stopping = report.Stopping
	known.loads = report.Loads
	known.seen = now
	t.rows[report.Name] = known
	return true
}

// Entry returns the description of a VM.
func (t *Table) EntryVM(name string) (EntryVM, bool) {
	known, ok := t.rows[name]
	return known.entry, ok
}

// Live returns the entry VMs that reported within the timeout, sorted by name.
func (t *Table) Live(now time.Time) []EntryVM {
	live := make([]EntryVM, 0, len(t.rows))
	for name, row := range t.rows {
		if now.Sub(row.seen) > t.timeout {
			delete(t.rows, name)
			continue
		}
		live = append(live, row.entry)
	}
	slices.SortFunc(live, func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Fleet returns the live entry VMs with a digest of them and of the coordinators.
func (t *Table) Fleet(now time.Time, coordinators []netip.AddrPort) (Fleet, error) {
	fleet := Fleet{EntryVMs: t.Live(now), Coordinators: coordinators}
	data, err := json.Marshal(fleet)
	fleet.Digest = xxhash.Sum64(data)
	return fleet, err
}

// Regions returns the loads of each region: the mean of what its VMs see.
func (t *Table) RegionLoads() map[string]Loads {
	regions := map[string]Loads{}
	counts := map[string]int{}
	for _, row := range t.rows {
		region := row.entry.Region
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

// Answer returns what a reporting VM does not have yet of the fleet, and the loads of all regions.
func (t *Table) HeartbeatReply(fleet Fleet, report Heartbeat) HeartbeatReply {
	reply := HeartbeatReply{RegionLoads: t.RegionLoads()}
	if report.FleetDigest != fleet.Digest {
		reply.Fleet = &fleet
	}
	return reply
}
