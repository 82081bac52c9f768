package replicator_test

import (
	"fmt"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

type entryKey struct{ index, term uint64 }

// checkLogMatching requires that all entries with the same index and term, on any member at any time, are equal and
// follow an entry of the same term.
func (s *simulation) checkLogMatching(entries []replicator.Entry, added int) {
	for i := max(1, len(entries)-added); i < len(entries); i++ {
		entry := entries[i]
		description := fmt.Sprintf("%d|%s|%s|%v", entries[i-1].Term, entry.Kind, entry.Data, entry.Membership)
		key := entryKey{entry.Index, entry.Term}
		if known, ok := s.loggedEntries[key]; ok && known != description {
			s.t.Fatalf("logs differ at index %d of term %d", entry.Index, entry.Term)
		}
		s.loggedEntries[key] = description
	}
}

func (s *simulation) checkLeader(m *member, e replicator.RoleChanged) {
	m.role = e
	if e.Role != replicator.RoleLeader {
		return
	}
	other, ok := s.leaderOfTerm[e.Term]
	assert.Assert(s.t, !ok || other == m.id, "term %d has the leaders %s and %s", e.Term, other, m.id)
	assert.Assert(s.t, !s.lostDisks[m.id], "a member with a lost disk leads")
	s.leaderOfTerm[e.Term] = m.id
	// A leader has every committed entry; those above its snapshot are compared one by one.
	for _, entry := range m.disk.Entries {
		if committed, ok := s.committed[entry.Index]; ok {
			assert.Equal(s.t, entry.Term, committed.Term, "leader %s of term %d lacks committed entry %d", m.id, e.Term, entry.Index)
		}
	}
	assert.Assert(s.t, m.replicator.Status().LastIndex >= s.highestCommitted, "leader %s of term %d lacks committed entries", m.id, e.Term)
}

// checkFencing requires each grant of the lease to have a higher fencing token than all earlier grants.
func (s *simulation) checkFencing(command promoter.Command, outcome promoter.Outcome, first bool) {
	if command.AcquireLease == nil || !outcome.Accepted() || !first {
		return
	}
	assert.Assert(s.t, outcome.Lease.FencingToken > s.lastFencingToken, "fencing token %d after %d", outcome.Lease.FencingToken, s.lastFencingToken)
	s.lastFencingToken = outcome.Lease.FencingToken
}
