package answerer

import (
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
)

// reachability tracks the entry VMs that accepted no connection lately. A partitioned region is probed with one request
// at a time, because each probe waits for a connection until it times out. A refused connection is no sign of a partition:
// the machine answers.
type reachability struct {
	mu sync.Mutex
	// failedAt and refusedAt hold when a connection to a VM last timed out and was last refused.
	failedAt, refusedAt map[string]time.Time
	// probedAt holds when each partitioned region was last probed.
	probedAt map[string]time.Time
}

func newReachability() *reachability {
	return &reachability{failedAt: map[string]time.Time{}, refusedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}}
}

// recordRefusal records that a VM refused a connection. Its machine can be reached, so its region is not partitioned.
func (r *reachability) recordRefusal(now time.Time, entries []fleetserver.EntryVM, remote target) {
	r.recordSuccess(entries, remote)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt[remote.name] = now
}

// recordFailure records that no connection to a VM was established in time.
func (r *reachability) recordFailure(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[name] = now
}

// recordSuccess records that a VM responded, so its region is not partitioned.
func (r *reachability) recordSuccess(entries []fleetserver.EntryVM, remote target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failedAt, remote.name)
	delete(r.refusedAt, remote.name)
	if _, ok := r.probedAt[remote.region]; !ok {
		return
	}
	delete(r.probedAt, remote.region)
	for _, entry := range entries {
		if entry.Region == remote.region {
			delete(r.failedAt, entry.Name)
		}
	}
}

// usable returns the entry VMs of a region that may be tried, or none while the region seems partitioned.
func (r *reachability) usable(now time.Time, region string, entries []fleetserver.EntryVM) []fleetserver.EntryVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	partitioned, latest := r.partitioned(now, entries)
	if partitioned && (now.Sub(latest) <= unreachableBackoff || now.Sub(r.probedAt[region]) <= unreachableBackoff) {
		return nil
	}
	var list []fleetserver.EntryVM
	for _, entry := range entries {
		if now.Sub(r.failedAt[entry.Name]) > unreachableBackoff && now.Sub(r.refusedAt[entry.Name]) > refusedBackoff {
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
	var entries []fleetserver.EntryVM
	for _, entry := range all {
		if entry.Region == region {
			entries = append(entries, entry)
		}
	}
	if partitioned, _ := r.partitioned(now, entries); partitioned {
		r.probedAt[region] = now
	}
}

// partitioned reports whether a region seems partitioned, and when a connection to it last failed. The lock must be
// held.
func (r *reachability) partitioned(now time.Time, entries []fleetserver.EntryVM) (bool, time.Time) {
	var latest time.Time
	count := 0
	for _, entry := range entries {
		if at, failed := r.failedAt[entry.Name]; failed && now.Sub(at) < failureWindow {
			count++
			if at.After(latest) {
				latest = at
			}
		}
	}
	return count >= partitionThreshold, latest
}
