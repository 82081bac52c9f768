package main

import (
	"net/netip"
	"sync"
	"time"
)

// upstream is one incarnation of an upstream VM. A VM that returns under the same address is a new incarnation.
type upstream struct {
	name        string
	address     netip.AddrPort
	pool        string
	zone        string
	incarnation uint64
	client      *upstreamClient
	// cacheSequence is the sequence number of the last cache event, and pollRounds counts the polls. Only the polling
	// loop uses them.
	cacheSequence uint64
	pollRounds    int

	mu        sync.Mutex
	draining  bool
	unhealthy bool
	// observedAt is the time of the last health check, by this gateway or by the watcher of the upstream.
	observedAt time.Time
	// loadReadAt is the time at which this gateway read the number of running and waiting requests.
	loadReadAt       time.Time
	running, waiting int
	// models are the models that the upstream serves; nil until it has been queried.
	models []string
}

// markDraining marks the upstream as draining permanently, and reports whether it was not draining before.
func (u *upstream) markDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := !u.draining
	u.draining = true
	return changed
}

// setHealthy stores the result of a health check and reports whether it changed.
func (u *upstream) setHealthy(healthy bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := u.unhealthy == healthy
	u.unhealthy = !healthy
	return changed
}

// usable reports whether new requests may be sent.
func (u *upstream) usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.draining && !u.unhealthy
}

func (u *upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// listedVM is one entry of the platform's VM list.
type listedVM struct {
	Name        string         `json:"name"`
	Address     netip.AddrPort `json:"address"`
	Pool        string         `json:"pool"`
	Zone        string         `json:"zone"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
}

const vmStateLeaving = "leaving"

// listChange holds the differences between two VM lists.
type listChange struct {
	added    []*upstream
	removed  []*upstream
	draining []*upstream
}

// upstreamTable holds the upstreams of the local availability zone.
type upstreamTable struct {
	zone string
	dial dialer

	mu     sync.RWMutex
	byName map[string]*upstream
	// departed holds the latest incarnation of each draining upstream that was removed, so that an outdated list cannot
	// add it again.
	departed map[string]uint64
}

func newUpstreamTable(zone string, dial dialer) *upstreamTable {
	return &upstreamTable{zone: zone, dial: dial, byName: map[string]*upstream{}, departed: map[string]uint64{}}
}

// applyList applies a VM list. An entry with an older incarnation than the known one is outdated and ignored.
func (t *upstreamTable) applyList(list []listedVM) listChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var change listChange
	listed := map[string]bool{}
	for _, vm := range list {
		if vm.Zone != t.zone {
			continue
		}
		listed[vm.Name] = true
		t.applyListed(vm, &change)
	}
	for name, u := range t.byName {
		if !listed[name] {
			t.remove(u, &change)
			delete(t.byName, name)
		}
	}
	return change
}

func (t *upstreamTable) remove(u *upstream, change *listChange) {
	change.removed = append(change.removed, u)
	if u.isDraining() {
		t.departed[u.name] = u.incarnation
	}
}

func (t *upstreamTable) applyListed(vm listedVM, change *listChange) {
	u, ok := t.byName[vm.Name]
	departed, hasDeparted := t.departed[vm.Name]
	if ok && u.incarnation > vm.Incarnation || hasDeparted && vm.Incarnation <= departed {
		return
	}
	if !ok || u.incarnation < vm.Incarnation {
		if ok {
			t.remove(u, change)
		}
		u = &upstream{name: vm.Name, address: vm.Address, pool: vm.Pool, zone: vm.Zone, incarnation: vm.Incarnation}
		u.client = newUpstreamClient(t.dial)
		t.byName[vm.Name] = u
		change.added = append(change.added, u)
	}
	if vm.State == vmStateLeaving && u.markDraining() {
		change.draining = append(change.draining, u)
	}
}

func (t *upstreamTable) all() []*upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]*upstream, 0, len(t.byName))
	for _, u := range t.byName {
		list = append(list, u)
	}
	return list
}

// find returns the upstream with a name if it has the given incarnation.
func (t *upstreamTable) find(name string, incarnation uint64) (*upstream, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	u, ok := t.byName[name]
	return u, ok && u.incarnation == incarnation
}
