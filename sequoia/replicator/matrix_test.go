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
	t.Run("configuration/vote/cut-off-member-returns", testCutOffMemberReturns)
	t.Run("configuration/replace/second-voter-fails", testSecondVoterFails)
	t.Run("configuration/replace/majority-of-old-set-missing", testOldSetMustAgree)
	t.Run("configuration/replace/learner-behind", testLearnerBehind)
	t.Run("configuration/commit/entry-of-earlier-term", testEarlierTermIsNotCounted)
	t.Run("configuration/commit/differing-end-of-log", testDifferingEndIsNotCommitted)
	t.Run("configuration/commit/late-acknowledgement", testLateAcknowledgement)
	t.Run("configuration/agreement/one-way-cut", testOneWayCut)
	t.Run("configuration/agreement/hang-and-resume", testHangAndResume)
	t.Run("configuration/agreement/clock-steps", testClockSteps)
	t.Run("configuration/store/failed-write", testFailedWrite)
	t.Run("configuration/promote/two-operators-one-version", testTwoOperators)
	t.Run("configuration/promote/reply-lost", testReplyLost)
	t.Run("orders/lease/disk-lost", testFencingAfterLostDisks)
	t.Run("planned-stop/leader/hand-over", testHandOver)
}

// elect runs until one member leads and has committed an entry of its term.
func (s *simulation) elect() *member {
	s.until("a leader", func() bool {
		m := s.leader()
		return m != nil && m.agreed.Status().Commit == m.agreed.Status().LastIndex
	})
	return s.leader()
}

func (s *simulation) follower(index int) *member {
	leader := s.leader().id
	for _, id := range s.ids() {
		if id == leader || !s.agreed.IsVoter(id) || s.lost[id] {
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

// three returns a member of three voters that starts from a saved state, and the head of messages to it.
func three(t *testing.T, term uint64, entries ...replicator.Entry) (*replicator.Replicator, replicator.DurableState) {
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

func head(from replicator.MemberID, term uint64) replicator.Header {
	return replicator.Header{From: from, To: "a", Term: term}
}

// command returns an entry of term 2.
func command(index uint64) replicator.Entry {
	return replicator.Entry{Index: index, Term: 2, Kind: replicator.EntryCommand}
}

func granted(effects []replicator.Effect) bool {
	for _, effect := range effects {
		if send, ok := effect.(replicator.Send); ok {
			if reply, ok := send.Message.(replicator.VoteReply); ok {
				return reply.Granted
			}
		}
	}
	return false
}

func lastState(effects []replicator.Effect) replicator.HardState {
	var state replicator.HardState
	for _, effect := range effects {
		if save, ok := effect.(replicator.Save); ok {
			state = save.State
		}
	}
	return state
}

// lead makes member a of three voters the leader of the next term.
func lead(t *testing.T, r *replicator.Replicator) time.Time {
	t.Helper()
	now := simulationStart
	r.Tick(now)
	now = now.Add(time.Minute)
	r.Tick(now)
	term := r.Status().Term + 1
	r.Step(now, replicator.VoteReply{Header: head("b", term), PreVote: true, Granted: true})
	r.Step(now, replicator.VoteReply{Header: head("b", term), Granted: true})
	assert.Equal(t, r.Status().Role, replicator.RoleLeader)
	return now
}

// Guards against two leaders of one term: a vote must be on the disk before its reply.
func testVoteSurvivesCrash(t *testing.T) {
	r, saved := three(t, 1)
	request := replicator.VoteRequest{Header: head("b", 5), LastIndex: 9, LastTerm: 4}
	effects := r.Step(simulationStart, request)
	assert.Assert(t, granted(effects))
	saved.State = lastState(effects)
	restarted, err := replicator.New(replicator.Config{ID: "a"}, saved)
	assert.NilError(t, err)
	request.From = "c"
	assert.Assert(t, !granted(restarted.Step(simulationStart, request)))
	request.From = "b"
	assert.Assert(t, granted(restarted.Step(simulationStart, request)))
}

// Guards against a voter that lost its log helping to elect a leader without the accepted changes.
func testEmptyDiskGivesNoVote(t *testing.T) {
	r, err := replicator.New(replicator.Config{ID: "a"}, replicator.DurableState{})
	assert.NilError(t, err)
	for _, pre := range []bool{true, false} {
		assert.Assert(t, !granted(r.Step(simulationStart, replicator.VoteRequest{Header: head("b", 5), PreVote: pre, LastIndex: 9, LastTerm: 4})))
	}
	effects := r.Tick(simulationStart.Add(time.Hour))
	effects = append(effects, r.Tick(simulationStart.Add(2*time.Hour))...)
	assert.Equal(t, len(effects), 0)
	assert.Equal(t, r.Status().Role, replicator.RoleFollower)
}

// Guards against a member that was cut off for long deposing a leader that the majority still hears.
func testCutOffMemberReturns(t *testing.T) {
	s := newSimulation(t, 1, 5, 0)
	term := s.elect().agreed.Status().Term
	away := s.follower(0)
	for _, id := range s.ids() {
		s.cut[link{id, away.id}], s.cut[link{away.id, id}] = true, true
	}
	s.run(time.Minute)
	clear(s.cut)
	s.run(10 * time.Second)
	assert.Equal(t, s.leader().agreed.Status().Term, term)
	assert.Equal(t, away.agreed.Status().Term, term)
}

// Guards against a repair that leaves the agreement without a quorum when the next voter fails, and against the lost
// id or its successor counting too early.
func testSecondVoterFails(t *testing.T) {
	s := newSimulation(t, 2, 5, 0)
	s.elect()
	assert.Assert(t, s.accept(promote("r-2", 2, "two")).Accepted())
	lost := s.follower(0).id
	successor := s.loseDisk(lost)
	s.crash(s.follower(1).id)
	assert.Assert(t, s.accept(promote("r-3", 3, "three")).Accepted())
	s.until("the successor votes", func() bool { return s.agreed.IsVoter(successor) && !s.agreed.IsJoint() })
	assert.Assert(t, !s.agreed.IsVoter(lost) && s.agreed.IsRetired(lost))
	assert.Equal(t, len(s.agreed.Voters), 5)
	s.crash(s.follower(2).id)
	assert.Assert(t, s.accept(promote("r-4", 4, "four")).Accepted())
	assert.Equal(t, s.members[successor].state.Version() >= 3, true)
}

// Guards against a replaced voter being decided by the new set alone: the old majority may hold other decisions.
func testOldSetMustAgree(t *testing.T) {
	s := newSimulation(t, 3, 5, 0)
	s.holdReplacement = true
	leader := s.elect()
	lost := s.follower(0).id
	successor := s.loseDisk(lost)
	s.until("the successor learns", func() bool {
		return leader.agreed.Status().MatchIndex[successor] == leader.agreed.Status().LastIndex && s.agreed.IsLearner(successor)
	})
	first, second := s.follower(1).id, s.follower(2).id
	s.crash(first)
	s.crash(second)
	s.local(leader, func(ref uint64) replicator.Message {
		return replicator.ReplaceVoter{Ref: ref, Lost: lost, Successor: successor}
	})
	s.run(20 * time.Second)
	assert.Assert(t, !s.agreed.IsVoter(successor), "the change was committed by 2 of 5 old voters")
	s.start(first)
	s.holdReplacement = false
	s.until("the successor votes", func() bool { return s.agreed.IsVoter(successor) && !s.agreed.IsJoint() })
}

// Guards against a learner counting for a quorum before it has the log, although it answers.
func testLearnerBehind(t *testing.T) {
	var entries []replicator.Entry
	for index := uint64(2); index < 30; index++ {
		entries = append(entries, command(index))
	}
	r, _ := three(t, 3, entries...)
	now := lead(t, r)
	last := r.Status().LastIndex
	r.Step(now, replicator.AppendReply{Header: head("b", 4), MatchIndex: last})
	r.Step(now, replicator.AddLearner{ID: "d", Address: anyAddress})
	last++
	r.Step(now, replicator.AppendReply{Header: head("b", 4), MatchIndex: last})
	r.Step(now, replicator.AppendReply{Header: head("d", 4), Reject: true, RejectedIndex: last})
	refused := r.Step(now, replicator.PromoteLearner{ID: "d"})
	assert.Equal(t, refused[0].(replicator.Refused).Reason.Kind, replicator.KindNotCaughtUp)
	r.Step(now, replicator.AppendReply{Header: head("d", 4), MatchIndex: last})
	r.Step(now, replicator.PromoteLearner{ID: "d"})
	assert.Assert(t, r.Status().Membership.IsVoter("d") && r.Status().Membership.IsJoint())
}

// Guards against counting copies of an entry of an earlier term: a later leader may still overwrite it.
func testEarlierTermIsNotCounted(t *testing.T) {
	r, _ := three(t, 3, command(2))
	now := lead(t, r)
	term := r.Status().Term
	r.Step(now, replicator.AppendReply{Header: head("b", term), MatchIndex: 2})
	assert.Equal(t, r.Status().Commit, uint64(1))
	r.Step(now, replicator.AppendReply{Header: head("b", term), MatchIndex: 3})
	assert.Equal(t, r.Status().Commit, uint64(3))
}

// Guards against applying entries at the end of the log that the leader does not have.
func testDifferingEndIsNotCommitted(t *testing.T) {
	r, _ := three(t, 3, command(2), command(3))
	r.Step(simulationStart, replicator.AppendRequest{Header: head("b", 4), PrevIndex: 2, PrevTerm: 2, Commit: 3})
	assert.Equal(t, r.Status().Commit, uint64(2))
}

// Guards against an acknowledgement of an earlier leadership being counted for entries that were replaced since.
func testLateAcknowledgement(t *testing.T) {
	r, _ := three(t, 3, command(2))
	now := lead(t, r)
	r.Step(now, replicator.AppendReply{Header: head("b", 3), MatchIndex: 3})
	assert.Equal(t, r.Status().Commit, uint64(1))
}

// Guards against a leader that can send but not receive staying in office and blocking every change.
func testOneWayCut(t *testing.T) {
	s := newSimulation(t, 4, 5, 0)
	old := s.elect()
	for _, id := range s.ids() {
		s.cut[link{id, old.id}] = true
	}
	s.until("another leader", func() bool { return s.leader() != nil && s.leader() != old && old.role.Role != replicator.RoleLeader })
	assert.Assert(t, s.accept(promote("r-2", 2, "two")).Accepted())
	clear(s.cut)
	s.until("the old leader follows", func() bool { return old.state.Version() == 2 })
}

// Guards against a leader that hung and resumes taking changes for accepted: it takes a proposal before anything else.
func testHangAndResume(t *testing.T) {
	s := newSimulation(t, 12, 5, 0)
	old := s.elect()
	old.hung = true
	assert.Assert(t, s.accept(promote("r-2", 2, "two")).Accepted())
	s.run(time.Minute)
	old.hung = false
	var late promoter.Outcome
	s.propose(old, promote("late", 2, "late"), func(o promoter.Outcome) { late = o })
	s.until("the old leader follows", func() bool { return old.role.Role == replicator.RoleFollower && old.state.Version() == 2 })
	assert.Assert(t, !late.Accepted())
	assert.Equal(t, old.state.History()[1].RequestID, "r-2")
}

// Guards against a stepped clock blocking elections or ageing stored outcomes.
func testClockSteps(t *testing.T) {
	s := newSimulation(t, 5, 3, 0)
	leader := s.elect()
	first := s.accept(promote("r-2", 2, "two"))
	leader.offset -= 10 * 365 * 24 * time.Hour
	s.follower(0).offset += 10 * 365 * 24 * time.Hour
	s.run(5 * time.Second)
	assert.DeepEqual(t, s.accept(promote("r-2", 2, "two")), first)
	s.crash(s.leader().id)
	assert.Assert(t, s.accept(promote("r-3", 3, "three")).Accepted())
}

// Guards against a reply for a change that the disk refused: a member whose write fails sends nothing more.
func testFailedWrite(t *testing.T) {
	s := newSimulation(t, 6, 3, 0)
	leader := s.elect()
	s.run(time.Second)
	sent := len(s.flights)
	leader.failWrite = true
	replied := false
	s.propose(leader, promote("r-2", 2, "two"), func(promoter.Outcome) { replied = true })
	assert.Assert(t, !leader.up && !replied)
	assert.Equal(t, len(s.flights), sent)
	assert.Assert(t, s.accept(promote("r-3", 2, "other")).Accepted())
	s.start(leader.id)
	s.until("the old leader follows", func() bool { return leader.state.Version() == 2 })
	assert.Equal(t, leader.state.History()[1].RequestID, "r-3")
}

// Guards against two documents under one version number, through the leader before and after a hand-over.
func testTwoOperators(t *testing.T) {
	s := newSimulation(t, 7, 5, 0)
	leader := s.elect()
	var outcomes []promoter.Outcome
	for _, id := range []string{"ann", "bob"} {
		s.propose(leader, promote(id, 2, "document of "+id), func(o promoter.Outcome) { outcomes = append(outcomes, o) })
	}
	s.until("both outcomes", func() bool { return len(outcomes) == 2 })
	assert.Assert(t, outcomes[0].Accepted())
	assert.Equal(t, outcomes[1].Result, promoter.ResultConflict)
	assert.Equal(t, outcomes[1].Winner.Operator, "ann")
	s.crash(leader.id)
	late := s.accept(promote("cyd", 2, "document of cyd"))
	assert.Equal(t, late.Result, promoter.ResultConflict)
	assert.Equal(t, late.Winner.Operator, "ann")
}

// Guards against a resend after a lost reply being run again or getting another outcome, also after later versions,
// another leader, and a restart of all members from their snapshots.
func testReplyLost(t *testing.T) {
	s := newSimulation(t, 8, 3, 0)
	leader := s.elect()
	s.propose(leader, promote("r-2", 2, "two"), nil)
	s.run(time.Second)
	for version := uint64(3); version < 40; version++ {
		assert.Assert(t, s.accept(promote("later-"+string(rune('0'+version)), version, "later")).Accepted())
	}
	for _, id := range s.ids() {
		s.crash(id)
		s.start(id)
	}
	again := s.accept(promote("r-2", 2, "two"))
	assert.Assert(t, again.Accepted() && again.Version == 2)
	assert.Equal(t, s.accept(promote("r-2", 2, "changed")).Result, promoter.ResultRequestIDReused)
	assert.Equal(t, s.leader().state.Version(), uint64(39))
}

// Guards against a fencing number being given twice after leaders and disks were lost; the simulation checks each grant.
func testFencingAfterLostDisks(t *testing.T) {
	s := newSimulation(t, 9, 5, 0)
	for round := range 6 {
		leader := s.elect()
		lease := leader.state.Lease()
		outcome := s.accept(promoter.Command{RequestID: "l-" + string(rune('0'+round)), AcquireLease: &promoter.AcquireLease{
			Holder: string(leader.id), ExpectedFencingToken: lease.FencingToken, ExpectedRenewals: lease.Renewals,
		}})
		assert.Assert(t, outcome.Accepted())
		assert.Equal(t, outcome.Lease.FencingToken, uint64(round+1))
		successor := s.loseDisk(s.leader().id)
		s.until("the successor votes", func() bool { return s.agreed.IsVoter(successor) && !s.agreed.IsJoint() })
	}
}

// Guards against a planned stop leaving the agreement without a leader for an election timeout.
func testHandOver(t *testing.T) {
	s := newSimulation(t, 10, 5, 0)
	old := s.elect()
	s.perform(old, old.agreed.Step(s.clock(old), replicator.TransferLeadership{}))
	s.run(500 * time.Millisecond)
	assert.Assert(t, s.leader() != nil && s.leader() != old)
	assert.Equal(t, old.role.Role, replicator.RoleFollower)
}
