package main

import (
	"context"
	"errors"
	"time"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/replicator"
)

// memberInterval is the pause between attempts to join and between checks of the membership.
const memberInterval = 500 * time.Millisecond

// keepMembers makes this controller a member, and as the leader brings the membership in line with the document.
func (n *node) keepMembers(ctx context.Context) error {
	ticker := time.NewTicker(memberInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		switch {
		case n.agreement.IsLeader():
			n.adjustMembers(ctx, n.agreement.Status())
		case !n.agreement.IsMember() && !n.retired.Load():
			n.askToJoin(ctx)
		}
	}
}

// askToJoin asks the known controllers until the leader has added this member as a learner.
func (n *node) askToJoin(ctx context.Context) {
	if n.agreement.RequestJoin(ctx, n.settings.Controllers) {
		n.retired.Store(true)
		n.logger.Error("this member was replaced or removed; it takes part again only with an empty data folder")
	}
}

// admit accepts only a member of a VM whose controller the document names at that address.
func (n *node) admit(join agreer.JoinRequest) error {
	document := n.Document()
	if document == nil {
		return newError("join", kindRefused, "no document is in force")
	}
	vm, ok := document.VM(join.ID.VM())
	if !ok || vm.ControllerAddress.AddrPort != join.Address {
		return newError("join", kindRefused, "the document names no controller of this VM at this address")
	}
	return nil
}

// adjustMembers makes one change at a time: a caught-up successor takes the place of the voter whose disk was lost,
// a controller that the document makes a voter is promoted, and one that it no longer names is removed.
func (n *node) adjustMembers(ctx context.Context, status replicator.Status) {
	if status.Membership.IsJoint() {
		return
	}
	build := n.nextChange(status.Membership)
	if build == nil {
		return
	}
	err := n.agreement.ChangeMembership(ctx, build)
	var refused *replicator.Error
	if errors.As(err, &refused) && (refused.Kind == replicator.KindNotCaughtUp || refused.Kind == replicator.KindBusy) {
		return
	}
	if err != nil {
		n.logger.WithError(err).Warn("membership change failed and will be tried again")
		return
	}
	n.logger.Info("membership changed")
}

func (n *node) nextChange(membership replicator.Membership) func(ref uint64) replicator.Message {
	document := n.Document()
	if document == nil {
		return nil
	}
	for _, learner := range membership.Learners {
		if lost, ok := voterOf(membership, learner.VM()); ok {
			return func(ref uint64) replicator.Message {
				return replicator.ReplaceVoter{Ref: ref, Lost: lost, Successor: learner}
			}
		}
		if vm, ok := document.VM(learner.VM()); ok && vm.Voter {
			return func(ref uint64) replicator.Message { return replicator.PromoteLearner{Ref: ref, ID: learner} }
		}
	}
	for _, member := range membership.Members() {
		vm, ok := document.VM(member.VM())
		if (!ok || !vm.HasController()) && member != n.id {
			return func(ref uint64) replicator.Message { return replicator.RemoveMember{Ref: ref, ID: member} }
		}
	}
	return nil
}

func voterOf(membership replicator.Membership, vm string) (replicator.MemberID, bool) {
	for _, voter := range membership.Voters {
		if voter.VM() == vm {
			return voter, true
		}
	}
	return "", false
}
