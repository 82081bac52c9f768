package coordinator

import (
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
)

// AddStreams records the versions that began streams. They survive the restart of all entry VMs at once.
func (c *Coordinator) AddStreams(streams fleetserver.Streams) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range streams.Records() {
		c.pins.Add(now, record)
	}
}

// FindStream returns the version that began a stream, or the only one that can have.
func (c *Coordinator) FindStream(query fleetserver.StreamQuery) fleetserver.StreamVersion {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version, ok := c.pins.Find(now, query.Service, query.Key); ok {
		return fleetserver.StreamVersion{Version: version, Found: true}
	}
	version, sole := c.pins.Sole(now, query.Service)
	return fleetserver.StreamVersion{Version: version, Sole: sole, Mixed: len(c.pins.Versions(now, query.Service)) > 1}
}

// seeVersions records the versions of services. The lock must be held.
func (c *Coordinator) seeVersions(now time.Time, versions map[string][]string) {
	for service, list := range versions {
		for _, version := range list {
			c.pins.See(now, service, version)
		}
	}
}
