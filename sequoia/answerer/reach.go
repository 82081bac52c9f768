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
)

// reach notes which entry VMs accepted no connection lately.
type reach struct {
	mu     sync.Mutex
	failed map[string]time.Time
}

func newReach() *reach {
	return &reach{failed: map[string]time.Time{}}
}

func (r *reach) note(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[name] = time.Now()
}

// usable returns the entry VMs of a region to try, or none while the region seems to be cut off.
func (r *reach) usable(entries []fleetserver.Entry) []fleetserver.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleetserver.Entry
	for _, entry := range entries {
		if at, ok := r.failed[entry.Name]; !ok || time.Since(at) > unreachableTime {
			list = append(list, entry)
		}
	}
	if len(entries)-len(list) >= regionLost {
		return nil
	}
	return list
}
