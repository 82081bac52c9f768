package coordinator

import (
	"context"
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/lessor"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	// leadershipInterval is the time between two observations of the consensus status.
	leadershipInterval = 100 * time.Millisecond
	// maxStall is the longest time without progress of the consensus member, or of its observation, that is no pause.
	maxStall = 300 * time.Millisecond
	// pauseRecovery is the time after a pause in which nothing is granted: messages of voters that had arrived before it
	// look like contact now, although they may follow another leader since.
	pauseRecovery = lessor.ContactTime + 200*time.Millisecond
)

// leases holds the grants of this process and whether it may make them.
type leases struct {
	lessor *lessor.Lessor
	// observedAt is when the status was last observed, and progressAt when the clock of the member last differed from
	// elapsed, its value.
	observedAt, progressAt time.Time
	elapsed                time.Duration
	// pausedAt is when the last pause was noticed.
	pausedAt time.Time
}

func newLeases() *leases {
	return &leases{lessor: lessor.New()}
}

// observe records the status of the consensus member.
func (l *leases) observe(now time.Time, status replicator.Status) {
	progress := status.Elapsed - l.elapsed
	if now.Sub(l.observedAt) > maxStall || now.Sub(l.progressAt) > maxStall || progress < 0 || progress > maxStall {
		l.pausedAt = now
	}
	l.observedAt = now
	if progress != 0 {
		l.elapsed, l.progressAt = status.Elapsed, now
	}
	if status.Role == replicator.RoleLeader {
		l.lessor.Lead(now, status.Term)
	}
}

// leads reports whether this process may grant as far as its contact with the voters goes.
func (l *leases) leads(now time.Time, status replicator.Status) bool {
	return status.LeadsWithContact(lessor.ContactTime) && now.Sub(l.observedAt) <= maxStall && now.Sub(l.pausedAt) > pauseRecovery
}

// watchLeadership observes the consensus status until the context is cancelled.
func (c *Coordinator) watchLeadership(ctx context.Context) {
	ticker := time.NewTicker(leadershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if status, ok := c.Status(); ok {
			c.mu.Lock()
			c.leases.observe(time.Now(), status)
			c.mu.Unlock()
		}
	}
}

// rates returns the rate limits of an applied state.
func (c *Coordinator) rates(state registrar.State) map[string]float64 {
	if c.config.Rates == nil || state.Version == 0 {
		return nil
	}
	return c.config.Rates(state)
}

// HandleLease records the demand of an entry VM and returns its lease.
func (c *Coordinator) HandleLease(request fleetserver.LeaseRequest) fleetserver.LeaseReply {
	now := time.Now()
	rates := c.rates(c.AppliedState())
	c.mu.Lock()
	defer c.mu.Unlock()
	return fleetserver.LeaseReply{Lease: c.grant(now, request.Name, request.Demand, rates)}
}

// grant returns the lease of an entry VM, or nil if this process does not lead or no organisation has a limit. The lock
// must be held.
func (c *Coordinator) grant(now time.Time, vm string, demand *lessor.Report, rates map[string]float64) *lessor.Grant {
	if len(rates) == 0 {
		return nil
	}
	status, ok := c.Status()
	if !ok || !c.leases.leads(now, status) {
		return nil
	}
	c.leases.lessor.Lead(now, status.Term)
	grant := c.leases.lessor.Grant(now, vm, demand, func(organisation string) float64 { return rates[organisation] })
	if c.leases.lessor.MayGrant(now) {
		grant.Fleet = len(c.fleet.Live(now))
	}
	return &grant
}
