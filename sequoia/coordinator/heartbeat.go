package coordinator

import (
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/pinner"
)

// HandleHeartbeat records the heartbeat of an entry VM and returns the reply.
func (c *Coordinator) HandleHeartbeat(heartbeat fleetserver.Heartbeat) fleetserver.HeartbeatReply {
	now := time.Now()
	coordinators := c.coordinatorAddresses()
	state := c.AppliedState()
	revision, rates := state.Revision, c.rates(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.record(now, heartbeat)
	c.seeVersions(now, heartbeat.Versions)
	if heartbeat.SoleVersions {
		c.pins.WatchedSince(now.Add(-pinner.Memory))
	}
	if !c.fleet.Record(now, heartbeat) {
		return fleetserver.HeartbeatReply{Revision: revision, UnknownVM: true}
	}
	fleet, err := c.fleet.Fleet(now, coordinators)
	if err != nil {
		c.logger.WithError(err).Error("encoding the fleet failed")
	}
	reply := c.fleet.HeartbeatReply(fleet, heartbeat)
	reply.Revision = revision
	if m := c.member.Load(); m != nil && !m.confirmed.Load() {
		reply.LogPosition, reply.Unconfirmed = m.logPosition, true
		if revision > 0 && m.reportedUnconfirmed.CompareAndSwap(false, true) {
			c.logger.WithField("revision", revision).Warn("reporting a state that no leader has confirmed")
		}
	}
	for _, loss := range heartbeat.Losses {
		c.losses.Add(now, loss)
	}
	reply.BlockedRequests = c.losses.Refused(now)
	reply.Suspicions = c.suspects.list(now)
	reply.Versions = c.pins.Mixed(now)
	reply.CompleteVersions, reply.PendingVersions = c.pins.Complete(now), c.pins.Pending(now)
	if vm, ok := c.fleet.EntryVM(heartbeat.Name); ok && vm.Region == c.config.Region {
		reply.UpstreamList = c.upstreams.listFor(now, heartbeat.UpstreamsDigest)
	}
	reply.Lease = c.grant(now, heartbeat.Name, heartbeat.Demand, rates)
	return reply
}
