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
type memberStatus struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	StartedAt int64  `json:"start"`
	Sequence  uint64 `json:"beat"`
	State     string `json:"state"`
	Version   uint64 `json:"version"`
}

func (r memberStatus) newerThan(other memberStatus) bool {
	return r.StartedAt > other.StartedAt || r.StartedAt == other.StartedAt && r.Sequence > other.Sequence
}

type receivedStatus struct {
	memberStatus
	receivedAt time.Time
}

// memberTable holds the gateways that were heard of, by their own words or through others.
type memberTable struct {
	mu       sync.Mutex
	self     memberStatus
	statuses map[string]receivedStatus
}

func newMemberTable(vm, zone string, now time.Time) *memberTable {
	self := memberStatus{VM: vm, Zone: zone, StartedAt: now.UnixNano(), State: memberLive}
	return &memberTable{self: self, statuses: map[string]receivedStatus{}}
}

// beat returns the next row of this process.
func (t *memberTable) nextStatus(version uint64) memberStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Sequence++
	t.self.Version = version
	return t.self
}

// stop makes all later rows of this process say that it stops.
func (t *memberTable) markStopping() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = memberStopping
}

// take stores rows that are newer than the known ones.
func (t *memberTable) update(now time.Time, statuses []memberStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, status := range statuses {
		known, ok := t.statuses[status.VM]
		if status.VM != t.self.VM && (!ok || status.newerThan(known.memberStatus)) {
			t.statuses[status.VM] = receivedStatus{memberStatus: status, receivedAt: now}
		}
	}
}

// zoneRows returns the rows of an availability zone that have not expired, with that of this process.
func (t *memberTable) zoneStatuses(now time.Time, zone string) []memberStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var statuses []memberStatus
	if zone == t.self.Zone {
		statuses = append(statuses, t.self)
	}
	for _, status := range t.statuses {
		if status.Zone == zone && now.Sub(status.receivedAt) < memberTimeout {
			statuses = append(statuses, status.memberStatus)
		}
	}
	return statuses
}

// state returns the state of a VM, or "" when its row has expired.
func (t *memberTable) state(now time.Time, vm string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if vm == t.self.VM {
		return t.self.State
	}
	status, ok := t.statuses[vm]
	if !ok || now.Sub(status.receivedAt) >= memberTimeout {
		return ""
	}
	return status.State
}

// live returns the other VMs of an availability zone that take requests.
func (t *memberTable) livePeers(now time.Time, zone string) []string {
	var names []string
	for _, status := range t.zoneStatuses(now, zone) {
		if status.State == memberLive && status.VM != t.self.VM {
			names = append(names, status.VM)
		}
	}
	slices.Sort(names)
	return names
}
