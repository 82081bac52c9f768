package coordinator

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// listingTimeout is the age at which a list is no longer passed on; entry VMs then read it themselves.
const listingTimeout = 2 * time.Second

// listing is the list of upstreams of the own region as it was read last.
type listing struct {
	digest    uint64
	upstreams []dispatcher.Upstream
	coldUntil map[string]time.Time
	read      time.Time
}

func newListing(now time.Time, list []dispatcher.Upstream) (listing, error) {
	l := listing{read: now, coldUntil: map[string]time.Time{}}
	for _, upstream := range list {
		if upstream.Cold > 0 {
			l.coldUntil[upstream.ID] = now.Add(upstream.Cold)
		}
		upstream.Cold = 0
		l.upstreams = append(l.upstreams, upstream)
	}
	data, err := json.Marshal(l.upstreams)
	l.digest = xxhash.Sum64(data)
	return l, err
}

// answer returns what an entry VM that has a list does not know yet, or nil when the list is too old.
func (l listing) answer(now time.Time, have uint64) *fleetserver.UpstreamList {
	if now.Sub(l.read) > listingTimeout {
		return nil
	}
	answer := &fleetserver.UpstreamList{Digest: l.digest}
	if have != l.digest {
		answer.Upstreams = l.upstreams
	}
	for id, until := range l.coldUntil {
		if left := until.Sub(now); left > 0 {
			if answer.ColdRemaining == nil {
				answer.ColdRemaining = map[string]time.Duration{}
			}
			answer.ColdRemaining[id] = left
		}
	}
	return answer
}

// sink takes the list of upstreams for the entry VMs of the region.
type sink struct {
	coordinator *Coordinator
}

// SetUpstreams takes over the list.
func (s sink) SetUpstreams(list []dispatcher.Upstream) {
	next, err := newListing(time.Now(), list)
	if err != nil {
		s.coordinator.logger.WithError(err).Error("list of upstreams cannot be encoded")
		return
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	s.coordinator.listing = next
}

// Report is never called: coordinators ask no upstream for its load.
func (sink) SetLoad(dispatcher.Load) {}

// Reporting returns nothing.
func (sink) UpstreamsToPoll() []dispatcher.Upstream { return nil }

// ListNeeded is true: the entry VMs rely on this list.
func (sink) NeedsList() bool { return true }

// Sharers is the number of processes that share the rate of the list.
func (s sink) ListReaders() int {
	return max(1, len(s.coordinator.coordinators()))
}
