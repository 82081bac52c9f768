package main

import (
	"sequoiaspread.example/sequoia/replicator"
)

// nodeHost is the recordHost of a running controller.
type nodeHost struct {
	*node
}

// Retired returns those of the members that the agreement replaced.
func (h nodeHost) Retired(members []string) []string {
	membership := h.agreement.Status().Membership
	var retired []string
	for _, member := range members {
		if membership.IsRetired(replicator.MemberID(member)) {
			retired = append(retired, member)
		}
	}
	return retired
}

// newNodeRecords returns the booking records of a controller.
func newNodeRecords(n *node) *records {
	r := newRecords(recordsConfig{
		Host:   nodeHost{n},
		Zone:   n.settings.Zone,
		Open:   func() (recordStore, error) { return openRecords(n.settings.DataFolder) },
		Pool:   n.pool,
		Logger: n.logger,
	})
	n.collectors = append(n.collectors, r.metrics.collectors()...)
	return r
}
