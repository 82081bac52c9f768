package admitter

import (
	"math"
	"time"
)

// freeSlots returns the slots that a rank may still take: the unused part of this VM's equal share, or all slots that
// other VMs leave unused if that is more. Both exclude the slots reserved for more urgent ranks. Without the equal
// share, every VM could find the upstreams full because their estimates of each other lag.
func (a *Admitter) freeSlots(now time.Time, rank int) float64 {
	reserved := a.reservedSlots(now, rank)
	senders := float64(max(a.capacity.Senders, 1))
	share := a.capacity.localShare() - reserved
	unused := a.capacity.Slots - a.capacity.PeerInFlight - reserved*senders
	if rank < len(a.ranks)-1 {
		share -= placementReserve * a.capacity.localShare()
		unused -= placementReserve * a.capacity.Slots
	}
	return max(share, unused) - a.totalInFlight()
}

// hasSlot reports whether a slot is free for an organisation queue. An organisation above its fair share leaves a few
// slots to the others, except in the least urgent rank, where the others can wait.
func (a *Admitter) hasSlot(now time.Time, r *rankQueue, q *orgQueue) bool {
	free := a.freeSlots(now, r.index)
	if free >= 1+fairnessReserve*a.capacity.localShare() {
		return true
	}
	last := r.index == len(a.ranks)-1
	return free >= 1 && (last || !r.exceedsFairShare(now, q))
}

// totalInFlight returns the number of admitted requests of all ranks.
func (a *Admitter) totalInFlight() float64 {
	total := 0
	for i := range a.ranks {
		total += a.ranks[i].inFlight
	}
	return float64(total)
}

// reservedSlots returns the slots that a rank leaves free for arrivals of more urgent ranks.
func (a *Admitter) reservedSlots(now time.Time, rank int) float64 {
	total := 0.0
	for i := range a.ranks[:rank] {
		r := &a.ranks[i]
		demand := min(r.demand(now), r.guaranteedShare*a.capacity.localShare())
		burst := a.burstReserve(now, r)
		total += min(max(demand+burst-float64(r.inFlight), 0), burst)
	}
	return total
}

// burstReserve returns this VM's share of the slots kept free for bursts of a rank: a few standard deviations of the
// demand on all VMs, divided by the number of VMs, because bursts on different VMs seldom coincide. It shrinks to 0 as
// the demand of a rank grows beyond its guaranteed share, so that a flood does not reserve slots.
func (a *Admitter) burstReserve(now time.Time, r *rankQueue) float64 {
	guaranteed := r.guaranteedShare * a.capacity.localShare()
	demand := r.demand(now)
	if guaranteed <= 0 {
		return 0
	}
	weight := min(max(maxDemandRatio-demand/guaranteed, 0), 1)
	senders := float64(max(a.capacity.Senders, 1))
	return weight * burstDeviations * math.Sqrt(min(demand, guaranteed)*senders) / senders
}
