package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/replicator"
)

const (
	membershipInterval = 250 * time.Millisecond
	// maxContactAge covers two heartbeats of the consensus protocol. A voter contacted within it counts as reachable.
	maxContactAge = 1200 * time.Millisecond
	// replaceAfter is the time without contact after which a waiting learner replaces a voter. The replacement has to
	// be complete within the few seconds after which a further failure must be tolerated.
	replaceAfter = 2 * time.Second
	// removeAfter is the time without contact after which a voter is removed from an even number of voters. There the
	// removal lowers the quorum without lowering the number of tolerated failures.
	removeAfter = 3500 * time.Millisecond
	// promoteAfter is the time that a learner waits before it becomes an additional voter. By then, an unreachable
	// voter that it should replace has been detected.
	promoteAfter = replaceAfter + maxContactAge
	// maxVoters limits the number of members that have to acknowledge each change.
	maxVoters = 7
	// minVoters is the number of voters at and below which unreachable voters are not removed.
	minVoters = 3
	// rejoinAfter is the time without a leader after which a member asks whether it was replaced.
	rejoinAfter = 3 * time.Second
)

// nextMembershipChange returns the membership change that a leader should make now, or nil. A learner with the address
// of a voter replaces that voter, whose disk was lost. Any other learner replaces an unreachable voter, or becomes an
// additional voter while all voters are reachable. learnerAge is the time for which each learner has been known.
func nextMembershipChange(self replicator.MemberID, status replicator.Status, learnerAge map[replicator.MemberID]time.Duration) func(ref uint64) replicator.Message {
	membership := status.Membership
	if membership.IsJoint() {
		return nil
	}
	stale := stalestVoter(self, status)
	for _, learner := range membership.Learners {
		if status.SinceContact[learner] > maxContactAge {
			continue
		}
		if lost := predecessor(membership, learner); lost != "" {
			return replaceVoter(lost, learner)
		}
		if stale != "" && status.SinceContact[stale] > replaceAfter {
			return replaceVoter(stale, learner)
		}
		reachable := stale == "" || status.SinceContact[stale] <= maxContactAge
		if reachable && learnerAge[learner] >= promoteAfter && len(membership.Voters) < maxVoters {
			return func(ref uint64) replicator.Message { return replicator.PromoteLearner{Ref: ref, ID: learner} }
		}
	}
	return removeStaleVoter(stale, status)
}

// removeStaleVoter returns the removal of a voter that has long been unreachable from an even number of voters, or
// nil.
func removeStaleVoter(stale replicator.MemberID, status replicator.Status) func(ref uint64) replicator.Message {
	voters := len(status.Membership.Voters)
	if stale == "" || status.SinceContact[stale] <= removeAfter || voters%2 != 0 || voters <= minVoters {
		return nil
	}
	return func(ref uint64) replicator.Message { return replicator.RemoveMember{Ref: ref, ID: stale} }
}

func replaceVoter(lost, successor replicator.MemberID) func(ref uint64) replicator.Message {
	return func(ref uint64) replicator.Message {
		return replicator.ReplaceVoter{Ref: ref, Lost: lost, Successor: successor}
	}
}

// stalestVoter returns the voter other than self with the longest time since contact, or "" if there is none.
func stalestVoter(self replicator.MemberID, status replicator.Status) replicator.MemberID {
	var stalest replicator.MemberID
	for _, voter := range status.Membership.Voters {
		if voter != self && (stalest == "" || status.SinceContact[voter] > status.SinceContact[stalest]) {
			stalest = voter
		}
	}
	return stalest
}

// predecessor returns the voter that had the address of a learner before it lost its disk.
func predecessor(membership replicator.Membership, learner replicator.MemberID) replicator.MemberID {
	for _, voter := range membership.Voters {
		if voter.VM() == learner.VM() {
			return voter
		}
	}
	return ""
}

// maintainMembership joins the consensus group and, on the leader, replaces and adds voters as needed. It returns
// errReplaced once this member has been replaced.
func (c *Coordinator) maintainMembership(ctx context.Context, m *member) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	lastLeader := time.Now()
	learners := newLearnerAges()
	lastIndex := m.consensus.Status().LastIndex
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := m.consensus.Status()
		m.updateConfirmed(status, lastIndex)
		if status.Leader != "" {
			lastLeader = time.Now()
		}
		switch {
		case status.Role == replicator.RoleLeader:
			c.changeMembership(ctx, m, status, learners.update(time.Now(), status.Membership.Learners))
		case !m.consensus.IsMember() || time.Since(lastLeader) > rejoinAfter:
			if m.consensus.RequestJoin(ctx, c.peerAddresses(status.Membership)) {
				return errReplaced
			}
		}
	}
}

func (c *Coordinator) changeMembership(
	ctx context.Context, m *member, status replicator.Status, learnerAge map[replicator.MemberID]time.Duration,
) {
	buildChange := nextMembershipChange(m.id, status, learnerAge)
	if buildChange == nil {
		return
	}
	err := m.consensus.ChangeMembership(ctx, buildChange)
	var rejected *replicator.Error
	if errors.As(err, &rejected) && (rejected.Kind == replicator.KindNotCaughtUp || rejected.Kind == replicator.KindBusy) {
		return
	}
	if err != nil {
		c.logger.WithError(err).Warn("membership change failed and will be retried")
		return
	}
	c.logger.WithField("voters", m.consensus.Status().Membership.Voters).Info("membership changed")
}

// peerAddresses returns the addresses of the seeds and of all known members.
func (c *Coordinator) peerAddresses(membership replicator.Membership) []netip.AddrPort {
	list := slices.Clone(c.seeds())
	for _, address := range membership.Addresses {
		list = append(list, address)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return slices.Compact(list)
}

// learnerAges records since when this leader has known each learner.
type learnerAges struct {
	since map[replicator.MemberID]time.Time
}

func newLearnerAges() *learnerAges {
	return &learnerAges{since: map[replicator.MemberID]time.Time{}}
}

func (a *learnerAges) update(now time.Time, learners []replicator.MemberID) map[replicator.MemberID]time.Duration {
	ages := map[replicator.MemberID]time.Duration{}
	for id := range a.since {
		if !slices.Contains(learners, id) {
			delete(a.since, id)
		}
	}
	for _, id := range learners {
		if _, known := a.since[id]; !known {
			a.since[id] = now
		}
		ages[id] = now.Sub(a.since[id])
	}
	return ages
}
