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
	memberInterval = 250 * time.Millisecond
	// heardWithin covers two heartbeats of the agreement; a voter heard within it counts as present.
	heardWithin = 1200 * time.Millisecond
	// replaceAfter is the silence after which a waiting learner takes the place of a voter. Replacement must end within
	// the seconds in which a further loss has to be borne.
	replaceAfter = 2 * time.Second
	// removeAfter is the silence after which a voter is removed from an even number of voters, where it only raises
	// the quorum.
	removeAfter = 3500 * time.Millisecond
	// promoteAfter is how long a learner waits before it becomes a further voter: the voter that it succeeds must have
	// been found silent by then.
	promoteAfter = replaceAfter + heardWithin
	// maxVoters bounds the members that each change waits for.
	maxVoters = 7
	// leastVoters is the number below which silent voters are not removed.
	leastVoters = 3
	// rejoinAfter is the time without a leader after which a member asks whether it was replaced.
	rejoinAfter = 3 * time.Second
)

// nextChange returns the membership change that a leader should make now, or nil. A successor on the same address
// replaces the voter that lost its disk; a learner replaces a voter that is silent, or becomes a further voter while
// all are present. Waited is how long each learner has been known.
func nextChange(self replicator.MemberID, status replicator.Status, waited map[replicator.MemberID]time.Duration) func(ref uint64) replicator.Message {
	membership := status.Membership
	if membership.IsJoint() {
		return nil
	}
	silent := longestSilent(self, status)
	for _, learner := range membership.Learners {
		if status.SinceContact[learner] > heardWithin {
			continue
		}
		if lost := predecessor(membership, learner); lost != "" {
			return replace(lost, learner)
		}
		if silent != "" && status.SinceContact[silent] > replaceAfter {
			return replace(silent, learner)
		}
		present := silent == "" || status.SinceContact[silent] <= heardWithin
		if present && waited[learner] >= promoteAfter && len(membership.Voters) < maxVoters {
			return func(ref uint64) replicator.Message { return replicator.PromoteLearner{Ref: ref, ID: learner} }
		}
	}
	return removal(silent, status)
}

// removal drops a voter that has been silent for long from an even number of voters.
func removal(silent replicator.MemberID, status replicator.Status) func(ref uint64) replicator.Message {
	voters := len(status.Membership.Voters)
	if silent == "" || status.SinceContact[silent] <= removeAfter || voters%2 != 0 || voters <= leastVoters {
		return nil
	}
	return func(ref uint64) replicator.Message { return replicator.RemoveMember{Ref: ref, ID: silent} }
}

func replace(lost, successor replicator.MemberID) func(ref uint64) replicator.Message {
	return func(ref uint64) replicator.Message {
		return replicator.ReplaceVoter{Ref: ref, Lost: lost, Successor: successor}
	}
}

func longestSilent(self replicator.MemberID, status replicator.Status) replicator.MemberID {
	var longest replicator.MemberID
	for _, voter := range status.Membership.Voters {
		if voter != self && (longest == "" || status.SinceContact[voter] > status.SinceContact[longest]) {
			longest = voter
		}
	}
	return longest
}

// predecessor returns the voter that had the address of a learner before its disk was lost.
func predecessor(membership replicator.Membership, learner replicator.MemberID) replicator.MemberID {
	for _, voter := range membership.Voters {
		if voter.VM() == learner.VM() {
			return voter
		}
	}
	return ""
}

// keepMembers joins the agreement, and as the leader keeps its voters in order. It returns errRetired once this
// member can take no further part.
func (c *Coordinator) keepMembers(ctx context.Context, m *member) error {
	ticker := time.NewTicker(memberInterval)
	defer ticker.Stop()
	led := time.Now()
	learners := newWaiting()
	logged := m.agreement.Status().LastIndex
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := m.agreement.Status()
		m.confirm(status, logged)
		if status.Leader != "" {
			led = time.Now()
		}
		switch {
		case status.Role == replicator.RoleLeader:
			c.adjust(ctx, m, status, learners.update(time.Now(), status.Membership.Learners))
		case !m.agreement.IsMember() || time.Since(led) > rejoinAfter:
			if m.agreement.RequestJoin(ctx, c.others(status.Membership)) {
				return errRetired
			}
		}
	}
}

func (c *Coordinator) adjust(
	ctx context.Context, m *member, status replicator.Status, waited map[replicator.MemberID]time.Duration,
) {
	build := nextChange(m.id, status, waited)
	if build == nil {
		return
	}
	err := m.agreement.ChangeMembership(ctx, build)
	var refused *replicator.Error
	if errors.As(err, &refused) && (refused.Kind == replicator.KindNotCaughtUp || refused.Kind == replicator.KindBusy) {
		return
	}
	if err != nil {
		c.logger.WithError(err).Warn("membership change failed and will be tried again")
		return
	}
	c.logger.WithField("voters", m.agreement.Status().Membership.Voters).Info("membership changed")
}

// others returns the addresses of the seeds and of all known members.
func (c *Coordinator) others(membership replicator.Membership) []netip.AddrPort {
	list := slices.Clone(c.seeds())
	for _, address := range membership.Addresses {
		list = append(list, address)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return slices.Compact(list)
}

// waiting notes since when this leader knows each learner.
type waiting struct {
	since map[replicator.MemberID]time.Time
}

func newWaiting() *waiting {
	return &waiting{since: map[replicator.MemberID]time.Time{}}
}

func (w *waiting) update(now time.Time, learners []replicator.MemberID) map[replicator.MemberID]time.Duration {
	waited := map[replicator.MemberID]time.Duration{}
	for id := range w.since {
		if !slices.Contains(learners, id) {
			delete(w.since, id)
		}
	}
	for _, id := range learners {
		if _, known := w.since[id]; !known {
			w.since[id] = now
		}
		waited[id] = now.Sub(w.since[id])
	}
	return waited
}
