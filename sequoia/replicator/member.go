package replicator

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// MemberID identifies a member by its VM and disk, "<vm>#<incarnation>"; a replaced disk gets a new id.
type MemberID string

// VM returns the VM name in a member id.
func (id MemberID) VM() string {
	vm, _, _ := strings.Cut(string(id), "#")
	return vm
}

// Membership is the configuration of the consensus group at one index of the log.
type Membership struct {
	Voters []MemberID `json:"voters"`
	// OldVoters is set during joint consensus: a quorum then needs a majority of both sets.
	OldVoters []MemberID `json:"old-voters,omitempty"`
	// Learners receive the log but are not part of any quorum.
	Learners []MemberID `json:"learners,omitempty"`
	// Retired ids were replaced or removed and can never rejoin.
	Retired   []MemberID                  `json:"retired,omitempty"`
	Addresses map[MemberID]netip.AddrPort `json:"addresses"`
}

// IsVoter reports whether a member is a voter in the old or the new set.
func (m Membership) IsVoter(id MemberID) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.OldVoters, id)
}

// IsLearner reports whether a member is a learner.
func (m Membership) IsLearner(id MemberID) bool {
	return slices.Contains(m.Learners, id)
}

// IsRetired reports whether a member was replaced or removed.
func (m Membership) IsRetired(id MemberID) bool {
	return slices.Contains(m.Retired, id)
}

// IsJoint reports whether a change of the voters is in progress.
func (m Membership) IsJoint() bool {
	return len(m.OldVoters) > 0
}

// Members returns the ids of all voters and learners, sorted.
func (m Membership) Members() []MemberID {
	all := slices.Concat(m.Voters, m.OldVoters, m.Learners)
	slices.Sort(all)
	return slices.Compact(all)
}

// hasQuorum reports whether the members for which agrees is true form a majority of each set of voters.
func (m Membership) hasQuorum(agrees func(MemberID) bool) bool {
	if len(m.OldVoters) > 0 && !hasMajority(m.OldVoters, agrees) {
		return false
	}
	return hasMajority(m.Voters, agrees)
}

func hasMajority(voters []MemberID, agrees func(MemberID) bool) bool {
	count := 0
	for _, id := range voters {
		if agrees(id) {
			count++
		}
	}
	return count > len(voters)/2
}

func (m Membership) clone() Membership {
	return Membership{
		Voters: slices.Clone(m.Voters), OldVoters: slices.Clone(m.OldVoters), Learners: slices.Clone(m.Learners),
		Retired: slices.Clone(m.Retired), Addresses: maps.Clone(m.Addresses),
	}
}

// retire removes a member from all sets and bars its id from rejoining.
func (m *Membership) retire(id MemberID) {
	m.Voters = removeID(m.Voters, id)
	m.OldVoters = removeID(m.OldVoters, id)
	m.Learners = removeID(m.Learners, id)
	delete(m.Addresses, id)
	if !m.IsRetired(id) {
		m.Retired = append(m.Retired, id)
	}
}

func removeID(ids []MemberID, id MemberID) []MemberID {
	return slices.DeleteFunc(slices.Clone(ids), func(other MemberID) bool { return other == id })
}
