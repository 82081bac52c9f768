package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

func TestMatrix(t *testing.T) {
	t.Run("configuration/agreement/random-schedules", testSchedules)
	t.Run("configuration/vote/crash-after-vote", testVoteSurvivesCrash)
	t.Run("configuration/vote/empty-disk", testEmptyDiskGivesNoVote)
	t.Run("configuration/vote/cut-off-member-returns", testPartitionedMemberReturns)
	t.Run("configuration/replace/second-voter-fails", testSecondVoterFails)
	t.Run("configuration/replace/majority-of-old-set-missing", testOldVotersMustAgree)
	t.Run("configuration/replace/learner-behind", testLaggingLearnerIsNotPromoted)
	t.Run("configuration/commit/entry-of-earlier-term", testEarlierTermIsNotCounted)
	t.Run("configuration/commit/differing-end-of-log", testDivergentTailIsNotCommitted)
	t.Run("configuration/commit/late-acknowledgement", testStaleAcknowledgement)
	t.Run("configuration/agreement/one-way-cut", testOneWayPartition)
	t.Run("configuration/agreement/hang-and-resume", testHangAndResume)
	t.Run("configuration/agreement/clock-steps", testClockSteps)
	t.Run("configuration/store/failed-write", testFailedWrite)
	t.Run("configuration/promote/two-operators-one-version", testConcurrentPromotions)
	t.Run("configuration/promote/reply-lost", testResendAfterLostReply)
	t.Run("orders/lease/disk-lost", testFencingAfterLostDisks)
	t.Run("planned-stop/leader/hand-over", testLeadershipTransfer)
}

// waitForLeader runs until one member leads and has committed its whole log, and returns it.
func (s *simulation) waitForLeader() *member {
	s.waitUntil("a leader", func() bool {
		m := s.leader()
		return m != nil && m.replicator.Status().Commit == m.replicator.Status().LastIndex
	})
	return s.leader()
}

func (s *simulation) follower(index int) *member {
	leader := s.leader().id
	for _, id := range s.ids() {
		if id == leader || !s.membership.IsVoter(id) || s.lostDisks[id] {
			continue
		}
		if index == 0 {
			return s.members[id]
		}
		index--
	}
	s.t.Fatal("no such follower")
	return nil
}

// newThreeVoterMember returns member a of three voters and the durable state that it started from.
func newThreeVoterMember(t *testing.T, term uint64, entries ...replicator.Entry) (*replicator.Replicator, replicator.DurableState) {
	t.Helper()
	saved := replicator.DurableState{
		State:    replicator.HardState{Term: term, Commit: 1},
		Snapshot: replicator.Snapshot{Index: 1, Term: 1, Membership: replicator.Membership{Voters: []replicator.MemberID{"a", "b", "c"}}},
		Entries:  entries,
	}
	r, err := replicator.New(replicator.Config{ID: "a"}, saved)
	assert.NilError(t, err)
	return r, saved
}

func newHeader(from replicator.MemberID, term uint64) replicator.Header {
	return replicator.Header{From: from, To: "a", Term: term}
}

// commandEntry returns a command entry of term 2.
func commandEntry(index uint64) replicator.Entry {
	return replicator.Entry{Index: index, Term: 2, Kind: replicator.EntryCommand}
}

func voteGranted(effects []replicator.Effect) bool {
	for _, effect := range effects {
		if send, ok := effect.(replicator.Send); ok {
			if reply, ok := send.Message.(replicator.VoteReply); ok {
				return reply.Granted
			}
		}
	}
	return false
}

func lastHardState(effects []replicator.Effect) replicator.HardState {
	var state replicator.HardState
	for _, effect := range effects {
		if save, ok := effect.(replicator.Save); ok {
			state = save.State
		}
	}
	return state
}

// electLeader makes member a of three voters the leader of the next term and returns the time of its election.
func electLeader(t *testing.T, r *replicator.Replicator) time.Time {
	t.Helper()
	now := simulationStart
	r.Tick(now)
	now = now.Add(time.Minute)
	r.Tick(now)
	term := r.Status().Term + 1
	r.Step(now, replicator.VoteReply{Header: newHeader("b", term), PreVote: true, Granted: true})
	r.Step(now, replicator.VoteReply{Header: newHeader("b", term), Granted: true})
	assert.Equal(t, r.Status().Role, replicator.RoleLeader)
	return now
}

// Guards against two leaders in one term: a vote must be durable before its reply is sent.
func testVoteSurvivesCrash(t *testing.T) {
	r, saved := newThreeVoterMember(t, 1)
	request := replicator.VoteRequest{Header: newHeader("b", 5), LastIndex: 9, LastTerm: 4}
	effects := r.Step(simulationStart, request)
	assert.Assert(t, voteGranted(effects))
	saved.State = lastHardState(effects)
	restarted, err := replicator.New(replicator.Config{ID: "a"}, saved)
	assert.NilError(t, err)
	request.From = "c"
	assert.Assert(t, !voteGranted(restarted.Step(simulationStart, request)))
	request.From = "b"
	assert.Assert(t, voteGranted(restarted.Step(simulationStart, request)))
}

// Guards against a voter that lost its log electing a leader that lacks committed entries.
func testEmptyDiskGivesNoVote(t *testing.T) {
	r, err := replicator.New(replicator.Config{ID: "a"}, replicator.DurableState{})
	assert.NilError(t, err)
	for _, pre := range []bool{true, false} {
		assert.Assert(t, !voteGranted(r.Step(simulationStart, replicator.VoteRequest{Header: newHeader("b", 5), PreVote: pre, LastIndex: 9, LastTerm: 4})))
	}
	effects := r.Tick(simulationStart.Add(time.Hour))
	effects = append(effects, r.Tick(simulationStart.Add(2*time.Hour))...)
	assert.Equal(t, len(effects), 0)
	assert.Equal(t, r.Status().Role, replicator.RoleFollower)
}

// Guards against a member that was partitioned for long deposing a leader that still reaches a majority.
func testPartitionedMemberReturns(t *testing.T) {
	s := newSimulation(t, 1, 5, 0)
	term := s.waitForLeader().replicator.Status().Term
	partitioned := s.follower(0)
	for _, id := range s.ids() {
		s.blockedLinks[link{id, partitioned.id}], s.blockedLinks[link{partitioned.id, id}] = true, true
	}
	s.run(time.Minute)
	clear(s.blockedLinks)
	s.run(10 * time.Second)
	assert.Equal(t, s.leader().replicator.Status().Term, term)
	assert.Equal(t, partitioned.replicator.Status().Term, term)
}

// Guards against a voter replacement that leaves the group without a quorum when the next voter fails, and against a
// quorum that includes the lost id after its replacement or its successor before it.
func testSecondVoterFails(t *testing.T) {
	s := newSimulation(t, 2, 5, 0)
	s.waitForLeader()
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-2", 2, "two")).Accepted())
	lost := s.follower(0).id
	successor := s.loseDisk(lost)
	s.crash(s.follower(1).id)
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-3", 3, "three")).Accepted())
	s.waitUntil("the successor is a voter", func() bool { return s.membership.IsVoter(successor) && !s.membership.IsJoint() })
	assert.Assert(t, !s.membership.IsVoter(lost) && s.membership.IsRetired(lost))
	assert.Equal(t, len(s.membership.Voters), 5)
	s.crash(s.follower(2).id)
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-4", 4, "four")).Accepted())
	assert.Equal(t, s.members[successor].stateMachine.Version() >= 3, true)
}

// Guards against the replacement of a voter being committed by the new set alone: a majority of the old set may have
// committed other entries.
func testOldVotersMustAgree(t *testing.T) {
	s := newSimulation(t, 3, 5, 0)
	s.pauseReplacement = true
	leader := s.waitForLeader()
	lost := s.follower(0).id
	successor := s.loseDisk(lost)
	s.waitUntil("the successor has caught up", func() bool {
		return leader.replicator.Status().MatchIndex[successor] == leader.replicator.Status().LastIndex && s.membership.IsLearner(successor)
	})
	first, second := s.follower(1).id, s.follower(2).id
	s.crash(first)
	s.crash(second)
	s.stepLocal(leader, func(ref uint64) replicator.Message {
		return replicator.ReplaceVoter{Ref: ref, Lost: lost, Successor: successor}
	})
	s.run(20 * time.Second)
	assert.Assert(t, !s.membership.IsVoter(successor), "the change was committed by 2 of 5 old voters")
	s.start(first)
	s.pauseReplacement = false
	s.waitUntil("the successor is a voter", func() bool { return s.membership.IsVoter(successor) && !s.membership.IsJoint() })
}

// Guards against a learner becoming part of a quorum before it has the log, although it replies.
func testLaggingLearnerIsNotPromoted(t *testing.T) {
	var entries []replicator.Entry
	for index := uint64(2); index < 30; index++ {
		entries = append(entries, commandEntry(index))
	}
	r, _ := newThreeVoterMember(t, 3, entries...)
	now := electLeader(t, r)
	last := r.Status().LastIndex
	r.Step(now, replicator.AppendReply{Header: newHeader("b", 4), MatchIndex: last})
	r.Step(now, replicator.AddLearner{ID: "d", Address: anyAddress})
	last++
	r.Step(now, replicator.AppendReply{Header: newHeader("b", 4), MatchIndex: last})
	r.Step(now, replicator.AppendReply{Header: newHeader("d", 4), Reject: true, RejectedIndex: last})
	refused := r.Step(now, replicator.PromoteLearner{ID: "d"})
	assert.Equal(t, refused[0].(replicator.Refused).Reason.Kind, replicator.KindNotCaughtUp)
	r.Step(now, replicator.AppendReply{Header: newHeader("d", 4), MatchIndex: last})
	r.Step(now, replicator.PromoteLearner{ID: "d"})
	assert.Assert(t, r.Status().Membership.IsVoter("d") && r.Status().Membership.IsJoint())
}

// Guards against committing an entry of an earlier term by counting its replicas: a later leader may overwrite it.
func testEarlierTermIsNotCounted(t *testing.T) {
	r, _ := newThreeVoterMember(t, 3, commandEntry(2))
	now := electLeader(t, r)
	term := r.Status().Term
	r.Step(now, replicator.AppendReply{Header: newHeader("b", term), MatchIndex: 2})
	assert.Equal(t, r.Status().Commit, uint64(1))
	r.Step(now, replicator.AppendReply{Header: newHeader("b", term), MatchIndex: 3})
	assert.Equal(t, r.Status().Commit, uint64(3))
}

// Guards against applying entries in a divergent tail of the log that the leader does not have.
func testDivergentTailIsNotCommitted(t *testing.T) {
	r, _ := newThreeVoterMember(t, 3, commandEntry(2), commandEntry(3))
	r.Step(simulationStart, replicator.AppendRequest{Header: newHeader("b", 4), PrevIndex: 2, PrevTerm: 2, Commit: 3})
	assert.Equal(t, r.Status().Commit, uint64(2))
}

// Guards against a stale acknowledgement of an earlier term being counted for entries that replaced those it was for.
func testStaleAcknowledgement(t *testing.T) {
	r, _ := newThreeVoterMember(t, 3, commandEntry(2))
	now := electLeader(t, r)
	r.Step(now, replicator.AppendReply{Header: newHeader("b", 3), MatchIndex: 3})
	assert.Equal(t, r.Status().Commit, uint64(1))
}

// Guards against a leader that can send but not receive keeping its leadership and blocking every change.
func testOneWayPartition(t *testing.T) {
	s := newSimulation(t, 4, 5, 0)
	old := s.waitForLeader()
	for _, id := range s.ids() {
		s.blockedLinks[link{id, old.id}] = true
	}
	s.waitUntil("a new leader", func() bool { return s.leader() != nil && s.leader() != old && old.role.Role != replicator.RoleLeader })
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-2", 2, "two")).Accepted())
	clear(s.blockedLinks)
	s.waitUntil("the old leader follows", func() bool { return old.stateMachine.Version() == 2 })
}

// Guards against a leader that resumes after a hang reporting a change as accepted: the first input after the hang is a
// proposal, before it learns of the newer term.
func testHangAndResume(t *testing.T) {
	s := newSimulation(t, 12, 5, 0)
	old := s.waitForLeader()
	old.hung = true
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-2", 2, "two")).Accepted())
	s.run(time.Minute)
	old.hung = false
	var late promoter.Outcome
	s.propose(old, promoteCommand("late", 2, "late"), func(o promoter.Outcome) { late = o })
	s.waitUntil("the old leader follows", func() bool { return old.role.Role == replicator.RoleFollower && old.stateMachine.Version() == 2 })
	assert.Assert(t, !late.Accepted())
	assert.Equal(t, old.stateMachine.History()[1].RequestID, "r-2")
}

// Guards against a clock step blocking elections or expiring stored outcomes.
func testClockSteps(t *testing.T) {
	s := newSimulation(t, 5, 3, 0)
	leader := s.waitForLeader()
	first := s.proposeUntilDecided(promoteCommand("r-2", 2, "two"))
	leader.clockOffset -= 10 * 365 * 24 * time.Hour
	s.follower(0).clockOffset += 10 * 365 * 24 * time.Hour
	s.run(5 * time.Second)
	assert.DeepEqual(t, s.proposeUntilDecided(promoteCommand("r-2", 2, "two")), first)
	s.crash(s.leader().id)
	assert.Assert(t, s.proposeUntilDecided(promoteCommand("r-3", 3, "three")).Accepted())
}

// Guards against a planned shutdown leaving the group without a leader for an election timeout.
func testLeadershipTransfer(t *testing.T) {
	s := newSimulation(t, 10, 5, 0)
	old := s.waitForLeader()
	s.applyEffects(old, old.replicator.Step(s.clockOf(old), replicator.TransferLeadership{}))
	s.run(500 * time.Millisecond)
	assert.Assert(t, s.leader() != nil && s.leader() != old)
	assert.Equal(t, old.role.Role, replicator.RoleFollower)
}
