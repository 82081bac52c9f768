package main

import (
	"net/netip"
	"sync"
	"time"
)

// upstream is one incarnation of an upstream VM; a comeback under the same address is another incarnation.
type upstream struct {
	name        string
	address     netip.AddrPort
	pool        string
	zone        string
	incarnation uint64
	client      *upstreamClient
	// cacheSequence is the last cache event read, and polls counts the rounds; only the loop that polls upstreams uses them.
	cacheSequence uint64
	pollRounds    int

	mu        sync.Mutex
	draining  bool
	unhealthy bool
	// observed is when the health was last checked, here or by the gateway that watches the upstream.
	observedAt time.Time
	// loaded is when the load report of running and waiting requests was read here.
	loadReadAt       time.Time
	running, waiting int
	// models are those that the upstream serves; nil until it has been asked.
	models []string
}

// markLeaving holds for good; it reports whether this was news.
func (u *upstream) markDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := !u.draining
	u.draining = true
	return first
}

// setHealthy notes the result of the last health check and reports whether it changed.
func (u *upstream) setHealthy(healthy bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := u.unhealthy == healthy
	u.unhealthy = !healthy
	return changed
}

// usable reports whether new work may be sent.
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

// listedVM is one line of the platform's list of VMs.
type listedVM struct {
	Name        string         `json:"name"`
	Address     netip.AddrPort `json:"address"`
	Pool        string         `json:"pool"`
	Zone        string         `json:"zone"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
}

const vmStateLeaving = "leaving"

// listChange says what a list of VMs changed.
type listChange struct {
	added    []*upstream
	removed  []*upstream
	draining []*upstream
}

// upstreamTable holds the upstreams of the own availability zone.
type upstreamTable struct {
	zone string
	dial dialer

	mu     sync.RWMutex
	byName map[string]*upstream
	// left holds the latest incarnation of each upstream that has left, so that a late list cannot bring it back.
	departed map[string]uint64
}

func newUpstreamTable(zone string, dial dialer) *upstreamTable {
	return &upstreamTable{zone: zone, dial: dial, byName: map[string]*upstream{}, departed: map[string]uint64{}}
}

// replace takes a list of VMs. A line with an older incarnation than the known one is late and changes nothing.
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
	for name, known := range t.byName {
		if !listed[name] {
			t.remove(known, &change)
			delete(t.byName, name)
		}
	}
	return change
}

func (t *upstreamTable) remove(known *upstream, change *listChange) {
	change.removed = append(change.removed, known)
	if known.isDraining() {
		t.departed[known.name] = known.incarnation
	}
}

func (t *upstreamTable) applyListed(vm listedVM, change *listChange) {
	known, ok := t.byName[vm.Name]
	departed, hasDeparted := t.departed[vm.Name]
	if ok && known.incarnation > vm.Incarnation || hasDeparted && vm.Incarnation <= departed {
		return
	}
	if !ok || known.incarnation < vm.Incarnation {
		if ok {
			t.remove(known, change)
		}
		known = &upstream{name: vm.Name, address: vm.Address, pool: vm.Pool, zone: vm.Zone, incarnation: vm.Incarnation}
		known.client = newUpstreamClient(t.dial)
		t.byName[vm.Name] = known
		change.added = append(change.added, known)
	}
	if vm.State == vmStateLeaving && known.markDraining() {
		change.draining = append(change.draining, known)
	}
}

// all returns the known upstreams.
func (t *upstreamTable) all() []*upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]*upstream, 0, len(t.byName))
	for _, u := range t.byName {
		list = append(list, u)
	}
	return list
}

// find returns the upstream with a name if its incarnation is the known one.
func (t *upstreamTable) find(name string, incarnation uint64) (*upstream, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known, ok := t.byName[name]
	return known, ok && known.incarnation == incarnation
}
