package replicator_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	defaultSchedules = 500
	stepsPerSchedule = 800
	// shardCount shards run in parallel; together they use less than half of the machine.
	shardCount             = 4
	linearizabilityTimeout = 10 * time.Second
)

func scheduleCount(t *testing.T) int {
	text := os.Getenv("SEQUOIA_SCHEDULES")
	if text == "" {
		return defaultSchedules
	}
	count, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return count
}

// request is one promotion by a client, with all its resends.
type request struct {
	command   promoter.Command
	invokedAt int64
	reply     *promoter.Outcome
	repliedAt int64
	// mayApply is set once a member has not refused the request, so that it may take effect.
	mayApply bool
}

// schedule is a simulation with clients and randomly injected faults.
type schedule struct {
	*simulation
	requests []*request
	leases   int
}

// testSchedules guards against the loss or reversal of accepted changes, two leaders in one term, diverging logs, two
// promotions of one version, and repeated fencing tokens under random faults.
func testSchedules(t *testing.T) {
	total := uint64(scheduleCount(t))
	for shard := range uint64(shardCount) {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < total; seed += shardCount {
				testSchedule(t, seed)
			}
		})
	}
}

func testSchedule(t *testing.T, seed uint64) {
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	s := &schedule{simulation: newSimulation(t, seed, 5, int(seed%2))}
	s.network = network{
		lossPercent: s.random.IntN(20), duplicatePercent: s.random.IntN(20),
		minDelay: simulationStep, maxDelay: simulationStep * time.Duration(1+s.random.IntN(10)),
	}
	for range stepsPerSchedule {
		s.injectFault()
		s.runClient()
		s.step()
		if s.random.IntN(10) == 0 {
			s.reconcileMembership()
		}
	}
	s.healAndVerify()
	s.checkLinearizability()
}

func (s *schedule) randomMember() *member {
	ids := s.ids()
	return s.members[ids[s.random.IntN(len(ids))]]
}

// injectFault injects at most one fault at a random member.
func (s *schedule) injectFault() {
	m := s.randomMember()
	if !m.up {
		if !s.lostDisks[m.id] && s.random.IntN(20) == 0 {
			s.start(m.id)
		}
		return
	}
	switch s.random.IntN(600) {
	case 0, 1, 2:
		s.crash(m.id)
	case 3, 4:
		m.failNextSave = true
	case 5, 6:
		if s.canLoseDisk(m.id) {
			s.loseDisk(m.id)
		}
	case 7, 8, 9, 10, 11:
		s.blockedLinks[link{m.id, s.randomMember().id}] = true
	case 12, 13, 14:
		clear(s.blockedLinks)
	case 15:
		m.clockOffset += time.Duration(s.random.Int64N(int64(2*time.Hour))) - time.Hour
	case 16, 17:
		s.applyEffects(m, m.replicator.Step(s.clockOf(m), replicator.TransferLeadership{}))
	}
}

// canLoseDisk reports whether the lost disks, with this one, are a minority of each set of committed voters. The
// protocol tolerates no more.
func (s *schedule) canLoseDisk(id replicator.MemberID) bool {
	for _, voters := range [][]replicator.MemberID{s.membership.Voters, s.membership.OldVoters} {
		lost := 0
		for _, voter := range voters {
			if s.lostDisks[voter] || voter == id {
				lost++
			}
		}
		if lost > (len(voters)-1)/2 {
			return false
		}
	}
	return true
}

// runClient lets a client promote, resend a request or acquire the lease, through the leader or a random member.
func (s *schedule) runClient() {
	if s.random.IntN(6) > 0 {
		return
	}
	m := s.leader()
	if m == nil || s.random.IntN(5) == 0 {
		m = s.randomMember()
	}
	if !m.up {
		return
	}
	switch choice := s.random.IntN(10); {
	case choice < 4:
		id := fmt.Sprintf("r-%d", len(s.requests))
		version := max(1, m.stateMachine.Version()+uint64(s.random.IntN(3)))
		r := &request{command: promoteCommand(id, version, "d-"+id), invokedAt: int64(s.now)}
		s.requests = append(s.requests, r)
		s.sendRequest(m, r)
	case choice < 7 && len(s.requests) > 0:
		s.sendRequest(m, s.requests[s.random.IntN(len(s.requests))])
	default:
		s.leases++
		lease := m.stateMachine.Lease()
		s.propose(m, promoter.Command{RequestID: fmt.Sprintf("l-%d", s.leases), AcquireLease: &promoter.AcquireLease{
			Holder: string(m.id), ExpectedFencingToken: lease.FencingToken, ExpectedRenewals: lease.Renewals,
		}}, nil)
	}
}

// sendRequest sends a request once; the reply to the client may be lost.
func (s *schedule) sendRequest(m *member, r *request) {
	replyLost := s.random.IntN(100) < 30
	refused := s.propose(m, r.command, func(outcome promoter.Outcome) {
		if replyLost {
			return
		}
		if r.reply == nil {
			r.reply, r.repliedAt = &outcome, int64(s.now)
			return
		}
		assert.DeepEqual(s.t, *r.reply, outcome)
	})
	r.mayApply = r.mayApply || !refused
}

// healAndVerify ends all faults and requires the members to converge.
func (s *schedule) healAndVerify() {
	s.network = network{minDelay: simulationStep, maxDelay: simulationStep}
	clear(s.blockedLinks)
	for _, id := range s.ids() {
		s.members[id].failNextSave = false
		if !s.members[id].up && !s.lostDisks[id] {
			s.start(id)
		}
	}
	assert.Assert(s.t, s.proposeUntilDecided(promoteCommand("last", 1, "d-last")).Result == promoter.ResultConflict)
	s.waitUntil("converged members", s.hasConverged)
	s.resendRequests()
	for _, id := range s.ids() {
		m := s.members[id]
		if m.up {
			assert.Assert(s.t, m.stateMachine.Version() >= m.highestVersion, "member %s regressed from version %d", id, m.highestVersion)
		}
	}
}

// resendRequests resends every request that may have taken effect: an outcome that a client has received must not
// change.
func (s *schedule) resendRequests() {
	for _, r := range s.requests {
		if !r.mayApply {
			continue
		}
		outcome := s.proposeUntilDecided(r.command)
		if r.reply == nil {
			r.reply, r.repliedAt = &outcome, int64(s.now)
		}
		assert.DeepEqual(s.t, *r.reply, outcome)
	}
}

// hasConverged reports whether all lost disks have left the membership and all its members have applied the whole log.
func (s *schedule) hasConverged() bool {
	m := s.leader()
	if m == nil {
		return false
	}
	status := m.replicator.Status()
	for _, id := range status.Membership.Members() {
		if s.lostDisks[id] || !s.members[id].up || s.members[id].replicator.Status().Applied != status.LastIndex {
			return false
		}
	}
	return len(status.Membership.Voters) == 5 && !status.Membership.IsJoint()
}

// checkLinearizability compares the outcomes that the clients received with a sequential model.
func (s *schedule) checkLinearizability() {
	var operations []porcupine.Operation
	for i, r := range s.requests {
		if r.mayApply {
			operations = append(operations, porcupine.Operation{
				ClientId: i, Input: r.command, Call: r.invokedAt, Output: *r.reply, Return: r.repliedAt,
			})
		}
	}
	result := porcupine.CheckOperationsTimeout(promotionModel(), operations, linearizabilityTimeout)
	assert.Equal(s.t, result, porcupine.Ok)
}

// promotionModel is the sequential model: the request id of the accepted promotion of each version.
func promotionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return []string{"", ""} },
		Step: func(before, input, output any) (bool, any) {
			winners := before.([]string)
			command := input.(promoter.Command)
			outcome := output.(promoter.Outcome)
			version := command.Promote.Version
			switch {
			case version == uint64(len(winners)):
				return outcome.Accepted(), append(slices.Clone(winners), command.RequestID)
			case version > uint64(len(winners)):
				return outcome.Result == promoter.ResultStale && outcome.Version == uint64(len(winners)-1), winners
			}
			return outcome.Result == promoter.ResultConflict && outcome.Winner.RequestID == winners[version], winners
		},
		Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	}
}
