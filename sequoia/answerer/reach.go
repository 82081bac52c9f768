package answerer

import (
	"sync"
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
)

const (
	// unreachableTime is how long an entry VM that accepted no connection gets no requests.
	unreachableTime = 2 * time.Second
	// regionLost is the number of such VMs at which their whole region is taken as cut off.
	regionLost = 2
	// lostTime is how long a failed connection counts toward that.
	lostTime = 10 * time.Second
)

// reach notes which entry VMs accepted no connection lately. A region that is cut off is tried again with one request at
// a time, because each of these waits for a connection in vain.
type reach struct {
	mu     sync.Mutex
	failed map[string]time.Time
	// tried holds when a region that was cut off was tried again.
	tried map[string]time.Time
}

func newReach() *reach {
	return &reach{failed: map[string]time.Time{}, tried: map[string]time.Time{}}
}

// note takes in that a VM accepted no connection.
func (r *reach) note(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[name] = now
}

// heard takes in that a VM answered; its region is not cut off.
func (r *reach) heard(entries []fleetserver.EntryVM, there target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, there.name)
	if _, ok := r.tried[there.region]; !ok {
		return
	}
	delete(r.tried, there.region)
	for _, entry := range entries {
		if entry.Region == there.region {
			delete(r.failed, entry.Name)
		}
	}
}

// usable returns the entry VMs of a region to try, or none while the region seems to be cut off.
func (r *reach) usable(now time.Time, region string, entries []fleetserver.EntryVM) []fleetserver.EntryVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, latest := r.lost(now, entries)
	if lost && (now.Sub(latest) <= unreachableTime || now.Sub(r.tried[region]) <= unreachableTime) {
		return nil
	}
	var list []fleetserver.EntryVM
	for _, entry := range entries {
		if at, failed := r.failed[entry.Name]; !failed || now.Sub(at) > unreachableTime {
			list = append(list, entry)
		}
	}
	return list
}

// try takes in that a request is sent to a region; if that is cut off, no other one follows for a time.
func (r *reach) try(now time.Time, region string, all []fleetserver.EntryVM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []fleetserver.EntryVM
	for _, entry := range all {
		if entry.Region == region {
			entries = append(entries, entry)
		}
	}
	if lost, _ := r.lost(now, entries); lost {
		r.tried[region] = now
	}
}

// lost reports whether a region seems to be cut off, and when a connection failed last; the caller holds the lock.
func (r *reach) lost(now time.Time, entries []fleetserver.EntryVM) (bool, time.Time) {
	var latest time.Time
	count := 0
	for _, entry := range entries {
		if at, failed := r.failed[entry.Name]; failed && now.Sub(at) < lostTime {
			count++
			if at.After(latest) {
				latest = at
			}
		}
	}
	return count >= regionLost, latest
}
