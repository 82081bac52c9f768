package coordinator

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// upstreamListMaxAge is the age at which a list is no longer passed on. Entry VMs then read the list themselves.
const upstreamListMaxAge = 2 * time.Second

// cachedUpstreams is the list of upstreams of the local region as last read.
type cachedUpstreams struct {
	digest    uint64
	upstreams []dispatcher.Upstream
	coldUntil map[string]time.Time
	// leavingSince holds for upstreams that are leaving the last reading that showed them otherwise.
	leavingSince map[string]time.Time
	readAt       time.Time
}

// follow takes over since when upstreams have been leaving from an earlier reading.
func (c *cachedUpstreams) follow(earlier cachedUpstreams) {
	c.leavingSince = map[string]time.Time{}
	ready := map[string]bool{}
	for _, upstream := range earlier.upstreams {
		ready[upstream.ID] = !upstream.Leaving
	}
	for _, upstream := range c.upstreams {
		since, known := earlier.leavingSince[upstream.ID]
		switch {
		case !upstream.Leaving:
		case known:
			c.leavingSince[upstream.ID] = since
		case ready[upstream.ID]:
			c.leavingSince[upstream.ID] = earlier.readAt
		}
	}
}

// newCachedUpstreams keeps the cold times apart from the list, so that they do not change its digest at every read.
func newCachedUpstreams(now time.Time, list []dispatcher.Upstream) (cachedUpstreams, error) {
	cached := cachedUpstreams{readAt: now, coldUntil: map[string]time.Time{}}
	for _, upstream := range list {
		if upstream.Cold > 0 {
			cached.coldUntil[upstream.ID] = now.Add(upstream.Cold)
		}
		upstream.Cold = 0
		cached.upstreams = append(cached.upstreams, upstream)
	}
	data, err := json.Marshal(cached.upstreams)
	cached.digest = xxhash.Sum64(data)
	return cached, err
}

// listFor returns the part of the list that an entry VM with the given digest lacks, or nil if the list is too old.
func (c cachedUpstreams) listFor(now time.Time, knownDigest uint64) *fleetserver.UpstreamList {
	if now.Sub(c.readAt) > upstreamListMaxAge {
		return nil
	}
	reply := &fleetserver.UpstreamList{Digest: c.digest, Age: now.Sub(c.readAt)}
	if knownDigest != c.digest {
		reply.Upstreams = c.upstreams
	}
	for id, until := range c.coldUntil {
		if remaining := until.Sub(now); remaining > 0 {
			if reply.ColdRemaining == nil {
				reply.ColdRemaining = map[string]time.Duration{}
			}
			reply.ColdRemaining[id] = remaining
		}
	}
	for id, since := range c.leavingSince {
		if reply.LeavingFor == nil {
			reply.LeavingFor = map[string]time.Duration{}
		}
		reply.LeavingFor[id] = now.Sub(since)
	}
	return reply
}

// upstreamSink stores the list of upstreams, to be passed on to the entry VMs of the region.
type upstreamSink struct {
	coordinator *Coordinator
}

// SetUpstreams replaces the list.
func (s upstreamSink) SetUpstreams(list []dispatcher.Upstream, readAt time.Time) {
	next, err := newCachedUpstreams(time.Now(), list)
	next.readAt = readAt
	if err != nil {
		s.coordinator.logger.WithError(err).Error("encoding the list of upstreams failed")
		return
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	next.follow(s.coordinator.upstreams)
	s.coordinator.upstreams = next
	for _, upstream := range list {
		s.coordinator.pins.See(time.Now(), upstream.Service, upstream.Version)
	}
}

// SetLoad does nothing: coordinators do not read the load of upstreams.
func (upstreamSink) SetLoad(dispatcher.Load) {}

// UpstreamsToPoll returns nothing.
func (upstreamSink) UpstreamsToPoll() []dispatcher.Upstream { return nil }

// NeedsList returns true: the entry VMs rely on this list.
func (upstreamSink) NeedsList() bool { return true }

// ListReaders returns the number of coordinators, which share the call rate of the list.
func (s upstreamSink) ListReaders() int {
	return max(1, len(s.coordinator.coordinatorAddresses()))
}
