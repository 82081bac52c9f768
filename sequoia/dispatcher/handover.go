package dispatcher

import (
	"slices"
	"time"
)

const (
	// handoverTime is how long a new sender to an upstream with a rate limit sends next to nothing. The permission of the
	// sender before it, which may not know of the change, has ended by then.
	handoverTime = 2 * time.Second
	// handoverRate is the rate in requests per second that a new sender may use meanwhile. The half of a cold limit that
	// steady senders leave covers several new ones.
	handoverRate = 0.95
)

// pastFleet is a fleet that another one replaced.
type pastFleet struct {
	members    []Member
	replacedAt time.Time
}

// SetFleet replaces the live entry VMs of the region, including this one. While it is empty no cold upstream is used,
// because the VM that may send to it is unknown. A VM that has just started is a new sender: it does not know what it sent
// before.
func (d *Dispatcher) SetFleet(now time.Time, members []Member) {
	d.pastFleets = slices.DeleteFunc(d.pastFleets, func(past pastFleet) bool { return now.Sub(past.replacedAt) >= handoverTime })
	if slices.Equal(members, d.fleet) {
		return
	}
	d.pastFleets = append(d.pastFleets, pastFleet{members: d.fleet, replacedAt: now})
	d.fleet = members
}

// isNewSender reports whether this VM, which is one of the senders to an upstream, became one during the time of a
// hand-over.
func (d *Dispatcher) isNewSender(now time.Time, u *upstreamState, senders int) bool {
	return slices.ContainsFunc(d.pastFleets, func(past pastFleet) bool {
		return now.Sub(past.replacedAt) < handoverTime && !isSenderIn(past.members, d.self, u.ID, senders)
	})
}

func isSenderIn(members []Member, self, id string, senders int) bool {
	rank, ok := rendezvousRank(members, self, id)
	return ok && rank < min(senders, len(members))
}
