package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
)

// Guards against a reply to a change whose write failed: the member must send nothing after a failed write.
func testFailedWrite(t *testing.T) {
	s := newSimulation(t, 6, 3, 0)
	leader := s.waitForLeader()
	s.run(time.Second)
	sent := len(s.inFlight)
	leader.failNextSave = true
	replied := false
	s.propose(leader, promoteCommand("r-2", 2, "two"), func(promoter.Outcome) { replied = true })
	assert.Assert(t, !leader.up && !replied)
	assert.Equal(t, len(s.inFlight), sent)
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-3", 2, "other")).Accepted())
	s.start(leader.id)
	s.waitUntil("the old leader follows", func() bool { return leader.stateMachine.Version() == 2 })
	assert.Equal(t, leader.stateMachine.History()[1].RequestID, "r-3")
}

// Guards against two documents being accepted under one version number, by one leader or by its successor.
func testConcurrentPromotions(t *testing.T) {
	s := newSimulation(t, 7, 5, 0)
	leader := s.waitForLeader()
	var outcomes []promoter.Outcome
	for _, id := range []string{"ann", "bob"} {
		s.propose(leader, promoteCommand(id, 2, "document of "+id), func(o promoter.Outcome) { outcomes = append(outcomes, o) })
	}
	s.waitUntil("both outcomes", func() bool { return len(outcomes) == 2 })
	assert.Assert(t, outcomes[0].Accepted())
	assert.Equal(t, outcomes[1].Result, promoter.ResultConflict)
	assert.Equal(t, outcomes[1].Winner.Operator, "ann")
	s.crash(leader.id)
	late := s.proposeUntilDecided(promoteCommand("cyd", 2, "document of cyd"))
	assert.Equal(t, late.Result, promoter.ResultConflict)
	assert.Equal(t, late.Winner.Operator, "ann")
}

// Guards against a resend after a lost reply being applied again or getting a different outcome, also after later
// versions, a change of leader, and a restart of all members from their snapshots.
func testResendAfterLostReply(t *testing.T) {
	s := newSimulation(t, 8, 3, 0)
	leader := s.waitForLeader()
	s.propose(leader, promoteCommand("r-2", 2, "two"), nil)
	s.run(time.Second)
	for version := uint64(3); version < 40; version++ {
		assert.Assert(t, s.proposeUntilDecided(promoteCommand("later-"+string(rune('0'+version)), version, "later")).Accepted())
	}
	for _, id := range s.ids() {
		s.crash(id)
		s.start(id)
	}
	again := s.proposeUntilDecided(promoteCommand("r-2", 2, "two"))
	assert.Assert(t, again.Accepted() && again.Version == 2)
	assert.Equal(t, s.proposeUntilDecided(promoteCommand("r-2", 2, "changed")).Result, promoter.ResultRequestIDReused)
	assert.Equal(t, s.leader().stateMachine.Version(), uint64(39))
}

// Guards against a fencing token being issued twice after leaders and disks were lost; the simulation checks each
// grant.
func testFencingAfterLostDisks(t *testing.T) {
	s := newSimulation(t, 9, 5, 0)
	for round := range 6 {
		leader := s.waitForLeader()
		lease := leader.stateMachine.Lease()
		outcome := s.proposeUntilDecided(promoter.Command{RequestID: "l-" + string(rune('0'+round)), AcquireLease: &promoter.AcquireLease{
			Holder: string(leader.id), ExpectedFencingToken: lease.FencingToken, ExpectedRenewals: lease.Renewals,
		}})
		assert.Assert(t, outcome.Accepted())
		assert.Equal(t, outcome.Lease.FencingToken, uint64(round+1))
		successor := s.loseDisk(s.leader().id)
		s.waitUntil("the successor is a voter", func() bool { return s.membership.IsVoter(successor) && !s.membership.IsJoint() })
	}
}
