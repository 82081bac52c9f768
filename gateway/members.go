package main

import (
	"slices"
	"sync"
	"time"
)

const (
	memberLive     = "live"
	memberStopping = "stopping"
)

// memberRow is what one gateway says of itself. Of two rows of one VM the one with the later start, then the later
// beat, is newer.
type memberRow struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Start   int64  `json:"start"`
	Beat    uint64 `json:"beat"`
	State   string `json:"state"`
	Version uint64 `json:"version"`
}

func (r memberRow) newer(other memberRow) bool {
	return r.Start > other.Start || r.Start == other.Start && r.Beat > other.Beat
}

type heardRow struct {
	memberRow
	heard time.Time
}

// memberTable holds the gateways that were heard of, by their own words or through others.
type memberTable struct {
	mu   sync.Mutex
	self memberRow
	rows map[string]heardRow
}

func newMemberTable(vm, zone string, now time.Time) *memberTable {
	self := memberRow{VM: vm, Zone: zone, Start: now.UnixNano(), State: memberLive}
	return &memberTable{self: self, rows: map[string]heardRow{}}
}

// beat returns the next row of this process.
func (t *memberTable) beat(version uint64) memberRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.self.Version = version
	return t.self
}

// stop makes all later rows of this process say that it stops.
func (t *memberTable) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = memberStopping
}

// take stores rows that are newer than the known ones.
func (t *memberTable) take(now time.Time, rows []memberRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		known, ok := t.rows[row.VM]
		if row.VM != t.self.VM && (!ok || row.newer(known.memberRow)) {
			t.rows[row.VM] = heardRow{memberRow: row, heard: now}
		}
	}
}

// zoneRows returns the rows of an availability zone that have not expired, with that of this process.
func (t *memberTable) zoneRows(now time.Time, zone string) []memberRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []memberRow
	if zone == t.self.Zone {
		rows = append(rows, t.self)
	}
	for _, row := range t.rows {
		if row.Zone == zone && now.Sub(row.heard) < memberTimeout {
			rows = append(rows, row.memberRow)
		}
	}
	return rows
}

// state returns the state of a VM, or "" when its row has expired.
func (t *memberTable) state(now time.Time, vm string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if vm == t.self.VM {
		return t.self.State
	}
	row, ok := t.rows[vm]
	if !ok || now.Sub(row.heard) >= memberTimeout {
		return ""
	}
	return row.State
}

// live returns the other VMs of an availability zone that take requests.
func (t *memberTable) live(now time.Time, zone string) []string {
	var names []string
	for _, row := range t.zoneRows(now, zone) {
		if row.State == memberLive && row.VM != t.self.VM {
			names = append(names, row.VM)
		}
	}
	slices.Sort(names)
	return names
}
