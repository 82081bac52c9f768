package replicator_test

import (
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

// leader returns the leader of the highest term among the running members, or nil.
func (s *simulation) leader() *member {
	var best *member
	for _, id := range s.ids() {
		m := s.members[id]
		if !m.up || m.hung || m.role.Role != replicator.RoleLeader {
			continue
		}
		if best == nil || m.role.Term > best.role.Term {
			best = m
		}
	}
	return best
}

// propose passes a command to a member and reports whether it was refused; reply is called when that member applies it.
func (s *simulation) propose(m *member, command promoter.Command, reply func(promoter.Outcome)) (refused bool) {
	data, err := promoter.Encode(command)
	assert.NilError(s.t, err)
	s.stepLocal(m, func(ref uint64) replicator.Message {
		m.pending[ref] = reply
		return replicator.Propose{Ref: ref, Data: data}
	})
	_, refused = m.pending[s.nextRef]
	return refused
}

func (s *simulation) stepLocal(m *member, build func(ref uint64) replicator.Message) {
	s.nextRef++
	s.applyEffects(m, m.replicator.Step(s.clockOf(m), build(s.nextRef)))
}

// proposeUntilDecided proposes a command to the leader until its outcome is known, and returns the outcome.
func (s *simulation) proposeUntilDecided(command promoter.Command) promoter.Outcome {
	var outcome *promoter.Outcome
	next := s.now
	s.waitUntil("an outcome of "+command.RequestID, func() bool {
		if m := s.leader(); m != nil && s.now >= next {
			next = s.now + 3*time.Second
			s.propose(m, command, func(o promoter.Outcome) { outcome = &o })
		}
		return outcome != nil
	})
	return *outcome
}

// reconcileMembership does what the leading controller does: it adds new disks as learners and then replaces the voter
// of the same VM.
func (s *simulation) reconcileMembership() {
	m := s.leader()
	if m == nil {
		return
	}
	status := m.replicator.Status()
	for _, id := range s.ids() {
		known := status.Membership.IsVoter(id) || status.Membership.IsLearner(id) || status.Membership.IsRetired(id)
		if !known && s.members[id].up {
			s.stepLocal(m, func(ref uint64) replicator.Message {
				return replicator.AddLearner{Ref: ref, ID: id, Address: anyAddress}
			})
			return
		}
	}
	for _, learner := range status.Membership.Learners {
		if s.pauseReplacement {
			return
		}
		for _, voter := range status.Membership.Voters {
			if voter.VM() == learner.VM() {
				s.stepLocal(m, func(ref uint64) replicator.Message {
					return replicator.ReplaceVoter{Ref: ref, Lost: voter, Successor: learner}
				})
				return
			}
		}
	}
}

func promoteCommand(requestID string, version uint64, digest string) promoter.Command {
	return promoter.Command{RequestID: requestID, Promote: &promoter.Promote{
		Version: version, Digest: digest, Text: []byte(digest), Operator: requestID, WithoutTrial: true,
	}}
}
