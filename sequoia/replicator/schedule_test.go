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
	scheduleSteps    = 800
	// shards run at the same time; together they use less than half of the machine.
	shards         = 4
	porcupineLimit = 10 * time.Second
)

func schedules(t *testing.T) int {
	text := os.Getenv("SEQUOIA_SCHEDULES")
	if text == "" {
		return defaultSchedules
	}
	count, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return count
}

// request is one promotion of a client with all its resends.
type request struct {
	command promoter.Command
	call    int64
	reply   *promoter.Outcome
	replied int64
	// sent is set once a member took the request.
	sent bool
}

// schedule is a simulation with clients and random faults.
type schedule struct {
	*simulation
	requests []*request
	leases   int
}

// testSchedules guards against lost or reverted accepted changes, two leaders of a term, differing logs, two winners
// of a version and repeated fencing numbers under random faults.
func testSchedules(t *testing.T) {
	total := uint64(schedules(t))
	for shard := range uint64(shards) {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < total; seed += shards {
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
		loss: s.random.IntN(20), duplicates: s.random.IntN(20),
		minDelay: simulationStep, maxDelay: simulationStep * time.Duration(1+s.random.IntN(10)),
	}
	for range scheduleSteps {
		s.disturb()
		s.work()
		s.step()
		if s.random.IntN(10) == 0 {
			s.adjust()
		}
	}
	s.heal()
	s.checkHistory()
}

func (s *schedule) pick() *member {
	ids := s.ids()
	return s.members[ids[s.random.IntN(len(ids))]]
}

// disturb injects at most one fault, at a random member.
func (s *schedule) disturb() {
	m := s.pick()
	if !m.up {
		if !s.lost[m.id] && s.random.IntN(20) == 0 {
			s.start(m.id)
		}
		return
	}
	switch s.random.IntN(600) {
	case 0, 1, 2:
		s.crash(m.id)
	case 3, 4:
		m.failWrite = true
	case 5, 6:
		if s.mayLose(m.id) {
			s.loseDisk(m.id)
		}
	case 7, 8, 9, 10, 11:
		s.cut[link{m.id, s.pick().id}] = true
	case 12, 13, 14:
		clear(s.cut)
	case 15:
		m.offset += time.Duration(s.random.Int64N(int64(2*time.Hour))) - time.Hour
	case 16, 17:
		s.perform(m, m.agreed.Step(s.clock(m), replicator.TransferLeadership{}))
	}
}

// mayLose allows as many lost disks as the design tolerates: a minority of the voters agreed on.
func (s *schedule) mayLose(id replicator.MemberID) bool {
	for _, voters := range [][]replicator.MemberID{s.agreed.Voters, s.agreed.OldVoters} {
		lost := 0
		for _, voter := range voters {
			if s.lost[voter] || voter == id {
				lost++
			}
		}
		if lost > (len(voters)-1)/2 {
			return false
		}
	}
	return true
}

// work lets a client promote, resend or take the lease through a random member.
func (s *schedule) work() {
	if s.random.IntN(6) > 0 {
		return
	}
	m := s.leader()
	if m == nil || s.random.IntN(5) == 0 {
		m = s.pick()
	}
	if !m.up {
		return
	}
	switch choice := s.random.IntN(10); {
	case choice < 4:
		id := fmt.Sprintf("r-%d", len(s.requests))
		version := max(1, m.state.Version()+uint64(s.random.IntN(3)))
		r := &request{command: promote(id, version, "d-"+id), call: int64(s.now)}
		s.requests = append(s.requests, r)
		s.ask(m, r)
	case choice < 7 && len(s.requests) > 0:
		s.ask(m, s.requests[s.random.IntN(len(s.requests))])
	default:
		s.leases++
		lease := m.state.Lease()
		s.propose(m, promoter.Command{RequestID: fmt.Sprintf("l-%d", s.leases), AcquireLease: &promoter.AcquireLease{
			Holder: string(m.id), ExpectedFencingToken: lease.FencingToken, ExpectedRenewals: lease.Renewals,
		}}, nil)
	}
}

// ask sends a request once; the reply may be lost on its way to the client.
func (s *schedule) ask(m *member, r *request) {
	lost := s.random.IntN(100) < 30
	refused := s.propose(m, r.command, func(outcome promoter.Outcome) {
		if lost {
			return
		}
		if r.reply == nil {
			r.reply, r.replied = &outcome, int64(s.now)
			return
		}
		assert.DeepEqual(s.t, *r.reply, outcome)
	})
	r.sent = r.sent || !refused
}

// heal ends all faults and requires the members to agree again.
func (s *schedule) heal() {
	s.network = network{minDelay: simulationStep, maxDelay: simulationStep}
	clear(s.cut)
	for _, id := range s.ids() {
		s.members[id].failWrite = false
		if !s.members[id].up && !s.lost[id] {
			s.start(id)
		}
	}
	assert.Assert(s.t, s.accept(promote("last", 1, "d-last")).Result == promoter.ResultConflict)
	s.until("equal states", s.settled)
	s.askAgain()
	for _, id := range s.ids() {
		m := s.members[id]
		if m.up {
			assert.Assert(s.t, m.state.Version() >= m.enforced, "member %s went back from version %d", id, m.enforced)
		}
	}
}

// askAgain resends every request that a member took: an outcome that a client knows must not change.
func (s *schedule) askAgain() {
	for _, r := range s.requests {
		if !r.sent {
			continue
		}
		outcome := s.accept(r.command)
		if r.reply == nil {
			r.reply, r.replied = &outcome, int64(s.now)
		}
		assert.DeepEqual(s.t, *r.reply, outcome)
	}
}

// settled reports whether no lost disk counts any more and all members of the agreement applied everything.
func (s *schedule) settled() bool {
	m := s.leader()
	if m == nil {
		return false
	}
	status := m.agreed.Status()
	for _, id := range status.Membership.Members() {
		if s.lost[id] || !s.members[id].up || s.members[id].agreed.Status().Applied != status.LastIndex {
			return false
		}
	}
	return len(status.Membership.Voters) == 5 && !status.Membership.IsJoint()
}

// checkHistory compares what the clients saw with one copy of the state that runs one request at a time.
func (s *schedule) checkHistory() {
	var operations []porcupine.Operation
	for i, r := range s.requests {
		if r.sent {
			operations = append(operations, porcupine.Operation{
				ClientId: i, Input: r.command, Call: r.call, Output: *r.reply, Return: r.replied,
			})
		}
	}
	verdict := porcupine.CheckOperationsTimeout(historyModel(), operations, porcupineLimit)
	assert.Equal(s.t, verdict, porcupine.Ok)
}

// historyModel is the sequence of winners by version.
func historyModel() porcupine.Model {
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
