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

// memberStatus is the status that a gateway reports of itself. Of two statuses of one VM, the one with the later start
// is newer; with equal starts, the one with the higher sequence number.
type memberStatus struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	StartedAt int64  `json:"start"`
	Sequence  uint64 `json:"beat"`
	State     string `json:"state"`
	Version   uint64 `json:"version"`
}

func (s memberStatus) newerThan(other memberStatus) bool {
	return s.StartedAt > other.StartedAt || s.StartedAt == other.StartedAt && s.Sequence > other.Sequence
}

type receivedStatus struct {
	memberStatus
	receivedAt time.Time
}

// memberTable holds the latest status of each gateway, received directly or through other gateways.
type memberTable struct {
	mu       sync.Mutex
	self     memberStatus
	statuses map[string]receivedStatus
}

func newMemberTable(vm, zone string, now time.Time) *memberTable {
	self := memberStatus{VM: vm, Zone: zone, StartedAt: now.UnixNano(), State: memberLive}
	return &memberTable{self: self, statuses: map[string]receivedStatus{}}
}

// nextStatus returns the status of this process with the next sequence number.
func (t *memberTable) nextStatus(version uint64) memberStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Sequence++
	t.self.Version = version
	return t.self
}

// markStopping sets the state of this process to stopping, for all later statuses.
func (t *memberTable) markStopping() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = memberStopping
}

// update stores the statuses that are newer than the known ones.
func (t *memberTable) update(now time.Time, statuses []memberStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, status := range statuses {
		current, ok := t.statuses[status.VM]
		if status.VM != t.self.VM && (!ok || status.newerThan(current.memberStatus)) {
			t.statuses[status.VM] = receivedStatus{memberStatus: status, receivedAt: now}
		}
	}
}

// zoneStatuses returns the unexpired statuses of an availability zone, including that of this process.
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

// state returns the state of a VM, or "" if its status is unknown or has expired.
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

// livePeers returns the names of the other VMs of an availability zone that accept requests.
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
