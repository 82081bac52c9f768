package main

import (
	"sequoiaspread.example/sequoia/replicator"
)

// nodeHost is the recordHost of a running controller.
type nodeHost struct {
	*node
}

// Retired returns those of the given members that the consensus group has retired.
func (h nodeHost) Retired(members []string) []string {
	membership := h.consensus.Status().Membership
	var retired []string
	for _, member := range members {
		if membership.IsRetired(replicator.MemberID(member)) {
			retired = append(retired, member)
		}
	}
	return retired
}

// newNodeRecordMember returns the record member of a controller and registers its metrics.
func newNodeRecordMember(n *node) *recordMember {
	r := newRecordMember(recordsConfig{
		Host:   nodeHost{n},
		Zone:   n.settings.Zone,
		Open:   func() (recordStore, error) { return openRecordStore(n.settings.DataFolder) },
		Pool:   n.pool,
		Logger: n.logger,
	})
	n.collectors = append(n.collectors, r.metrics.collectors()...)
	return r
}
