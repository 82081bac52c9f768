package coordinator

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/lessor"
	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

// Guards against a leader that grants shares while those of an earlier one may be in force, and against bytes for leases
// while no organisation has a limit.
func TestLeaderGrantsAfterItsWaitAndOnlyLimits(t *testing.T) {
	address := freeAddress(t)
	c := startCoordinator(t, address, []netip.AddrPort{address}, t.TempDir(), true)
	defer c.stop()
	limited := false
	c.config.Rates = func(registrar.State) map[string]float64 {
		if !limited {
			return nil
		}
		return map[string]float64{"o": 1000}
	}
	putDocument(t, c, 1)
	waitFor(t, "leadership", func() bool { status, ok := c.Status(); return ok && status.Role == replicator.RoleLeader })
	demand := &lessor.Report{Organisations: []string{"o"}, Demands: []int64{500}}
	vm := fleetserver.EntryVM{Name: "a"}
	assert.Assert(t, c.HandleHeartbeat(fleetserver.Heartbeat{Name: "a", EntryVM: &vm, Demand: demand}).Lease == nil)
	limited = true
	var granted time.Time
	waitFor(t, "a grant", func() bool {
		lease := c.HandleHeartbeat(fleetserver.Heartbeat{Name: "a", EntryVM: &vm, Demand: demand}).Lease
		granted = time.Now()
		return lease != nil && lease.Sequence > 0 && lease.Fleet == 1 && lease.Shares[0] > 0
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, c.leases.lessor.MayGrant(granted))
	assert.Assert(t, !c.leases.lessor.MayGrant(granted.Add(-lessor.ElectionWait)))
}

// Guards against a leader that takes messages which had arrived before its pause for contact, and grants although another
// leads.
func TestPausedLeaderDoesNotGrant(t *testing.T) {
	l, now := newLeases(), time.Now()
	status := replicator.Status{ID: "a", Role: replicator.RoleLeader, Term: 3, Membership: replicator.Membership{Voters: []replicator.MemberID{"a", "b", "c"}}}
	status.SinceContact = map[replicator.MemberID]time.Duration{"b": 0, "c": time.Hour}
	step := func(count int) {
		for range count {
			now, status.Elapsed = now.Add(leadershipInterval), status.Elapsed+leadershipInterval
			l.observe(now, status)
		}
	}
	step(20)
	assert.Assert(t, l.leads(now, status))
	status.SinceContact["b"] = lessor.ContactTime + 1
	assert.Assert(t, !l.leads(now, status), "no majority")
	status.SinceContact["b"] = 0
	assert.Assert(t, !l.leads(now.Add(5*time.Second), status), "not observed since")
	now, status.Elapsed = now.Add(5*time.Second), status.Elapsed+5*time.Second
	step(5)
	assert.Assert(t, !l.leads(now, status), "shortly after a pause")
	step(20)
	assert.Assert(t, l.leads(now, status))
}
