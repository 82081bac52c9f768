package answerer

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
)

const (
	// unreachableBackoff is how long an entry VM gets no requests after a connection to it timed out.
	unreachableBackoff = 2 * time.Second
	// refusedBackoff is how long an entry VM that refused a connection gets no requests: its process is down, and starts
	// again soon. Another refusal costs a round trip.
	refusedBackoff = 250 * time.Millisecond
	// partitionThreshold is the number of VMs without an answer from which their whole region is considered partitioned.
	partitionThreshold = 2
	// failureWindow is how long a failed connection counts towards partitionThreshold.
	failureWindow = 10 * time.Second
	// checkInterval is the pause between connections that check whether a partition has ended.
	checkInterval = 250 * time.Millisecond
)

// reachability tracks the entry VMs that accepted no connection lately. A partitioned region is probed with one request
// at a time, because each probe waits for a connection until it times out. A refused connection is no sign of a partition:
// the machine answers. Evidence is ordered by when a connection was tried, not by when its outcome came: a timeout is
// known late, often after later connections were accepted or refused.
type reachability struct {
	mu sync.Mutex
	// failed holds the latest connection to a VM that timed out, and refusedAt when one was last refused.
	failed    map[string]failure
	refusedAt map[string]time.Time
	// probedAt holds when each partitioned region was last probed.
	probedAt map[string]time.Time
	// vmContactAt and regionContactAt hold when the latest connection was tried, to a VM and to any VM of a region, that
	// was accepted or refused.
	vmContactAt, regionContactAt map[string]time.Time
	// checking holds the regions for which connections of their own check whether a partition has ended.
	checking map[string]bool
}

// failure is a connection that timed out.
type failure struct {
	triedAt, at time.Time
}

func newReachability() *reachability {
	return &reachability{
		failed: map[string]failure{}, refusedAt: map[string]time.Time{}, probedAt: map[string]time.Time{},
		vmContactAt: map[string]time.Time{}, regionContactAt: map[string]time.Time{}, checking: map[string]bool{},
	}
}

// recordRefusal records that a VM refused a connection that was tried at a time. Its machine can be reached, so its region
// is not partitioned.
func (r *reachability) recordRefusal(now, triedAt time.Time, remote target) {
	r.recordSuccess(triedAt, remote)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt[remote.name] = now
}

// recordFailure records that a connection to a VM that was tried at a time was not established until now. It has no effect
// if a later one was accepted or refused.
func (r *reachability) recordFailure(now, triedAt time.Time, remote target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.vmContactAt[remote.name].Before(triedAt) {
		r.failed[remote.name] = failure{triedAt: triedAt, at: now}
	}
}

// recordSuccess records that a VM answered on a connection that was tried or used at a time, so its region is not
// partitioned.
func (r *reachability) recordSuccess(triedAt time.Time, remote target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !triedAt.Before(r.failed[remote.name].triedAt) {
		delete(r.failed, remote.name)
	}
	delete(r.refusedAt, remote.name)
	delete(r.probedAt, remote.region)
	r.vmContactAt[remote.name] = later(r.vmContactAt[remote.name], triedAt)
	r.regionContactAt[remote.region] = later(r.regionContactAt[remote.region], triedAt)
}

// retain forgets the VMs that have left the fleet.
func (r *reachability) retain(entries []fleetserver.EntryVM) {
	known := make(map[string]bool, len(entries))
	for _, entry := range entries {
		known[entry.Name] = true
	}
	unknown := func(name string) bool { return !known[name] }
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.failed, func(name string, _ failure) bool { return unknown(name) })
	maps.DeleteFunc(r.refusedAt, func(name string, _ time.Time) bool { return unknown(name) })
	maps.DeleteFunc(r.vmContactAt, func(name string, _ time.Time) bool { return unknown(name) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startChecking reports whether a region seems partitioned and is not being checked. The caller then has to check it until
// checkTarget returns none.
func (r *reachability) startChecking(now time.Time, region string, entries []fleetserver.EntryVM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	partitioned, _ := r.partitioned(now, region, entries)
	if !partitioned || r.checking[region] {
		return false
	}
	r.checking[region] = true
	return true
}

// checkTarget returns an entry VM to connect to, or false once the region does not seem partitioned any more.
func (r *reachability) checkTarget(now time.Time, region string, entries []fleetserver.EntryVM) (fleetserver.EntryVM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partitioned, _ := r.partitioned(now, region, entries); !partitioned {
		delete(r.checking, region)
		return fleetserver.EntryVM{}, false
	}
	return entries[rand.IntN(len(entries))], true
}

// usable returns the entry VMs of a region that may be tried, or none while the region seems partitioned.
func (r *reachability) usable(now time.Time, region string, entries []fleetserver.EntryVM) []fleetserver.EntryVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	partitioned, latest := r.partitioned(now, region, entries)
	if partitioned && (now.Sub(latest) <= unreachableBackoff || now.Sub(r.probedAt[region]) <= unreachableBackoff) {
		return nil
	}
	var list []fleetserver.EntryVM
	for _, entry := range entries {
		if now.Sub(r.failed[entry.Name].at) > unreachableBackoff && now.Sub(r.refusedAt[entry.Name]) > refusedBackoff {
			list = append(list, entry)
		}
	}
	return list
}

// recordAttempt records that a request is sent to a VM. If that refused a connection lately, no other request follows
// within refusedBackoff, unless the VM responds before.
func (r *reachability) recordAttempt(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, refused := r.refusedAt[name]; refused {
		r.refusedAt[name] = now
	}
}

// recordProbe records that a request is sent to a region. If the region is partitioned, no other request follows within
// unreachableBackoff.
func (r *reachability) recordProbe(now time.Time, region string, all []fleetserver.EntryVM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partitioned, _ := r.partitioned(now, region, entriesOf(region, all)); partitioned {
		r.probedAt[region] = now
	}
}

// entriesOf returns the entry VMs of a region.
func entriesOf(region string, all []fleetserver.EntryVM) []fleetserver.EntryVM {
	var entries []fleetserver.EntryVM
	for _, entry := range all {
		if entry.Region == region {
			entries = append(entries, entry)
		}
	}
	return entries
}

// partitioned reports whether a region seems partitioned, and when a connection to it last failed. Failures before the
// latest contact with the region do not count. The lock must be held.
func (r *reachability) partitioned(now time.Time, region string, entries []fleetserver.EntryVM) (bool, time.Time) {
	var latest time.Time
	count := 0
	for _, entry := range entries {
		failure, failed := r.failed[entry.Name]
		if failed && now.Sub(failure.at) < failureWindow && failure.triedAt.After(r.regionContactAt[region]) {
			count++
			latest = later(latest, failure.at)
		}
	}
	return count >= partitionThreshold, latest
}
