package main

import (
	"context"
	"errors"
	"time"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/replicator"
)

// membershipInterval is the interval of join attempts and of membership checks.
const membershipInterval = 500 * time.Millisecond

// reconcileMembership joins the consensus group if this controller is not a member. On the leader it makes the
// membership match the document.
func (n *node) reconcileMembership(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		switch {
		case n.consensus.IsLeader():
			n.adjustMembership(ctx, n.consensus.Status())
		case !n.consensus.IsMember() && !n.retired.Load():
			n.requestJoin(ctx)
		}
	}
}

// requestJoin asks the configured controllers in turn to add this member as a learner. It marks this member as retired
// if the consensus group has replaced or removed it, which ends the attempts to join.
func (n *node) requestJoin(ctx context.Context) {
	if n.consensus.RequestJoin(ctx, n.settings.Controllers) {
		n.retired.Store(true)
		n.logger.Error("this member was replaced or removed; it can rejoin only with an empty data folder")
	}
}

// validateJoin accepts a join request only if the document names a controller on the member's VM at the given address.
func (n *node) validateJoin(join agreer.JoinRequest) error {
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

// adjustMembership makes at most one change per call: a caught-up learner replaces the voter of the same VM whose disk
// was lost, a learner that the document makes a voter is promoted, and a member that it no longer names is removed.
func (n *node) adjustMembership(ctx context.Context, status replicator.Status) {
	if status.Membership.IsJoint() {
		return
	}
	buildChange := n.nextMembershipChange(status.Membership)
	if buildChange == nil {
		return
	}
	err := n.consensus.ChangeMembership(ctx, buildChange)
	var rejection *replicator.Error
	if errors.As(err, &rejection) && (rejection.Kind == replicator.KindNotCaughtUp || rejection.Kind == replicator.KindBusy) {
		return
	}
	if err != nil {
		n.logger.WithError(err).Warn("membership change failed; retrying")
		return
	}
	n.logger.Info("membership changed")
}

func (n *node) nextMembershipChange(membership replicator.Membership) func(ref uint64) replicator.Message {
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
