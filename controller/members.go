package main

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	// memberInterval is the pause between attempts to join and between checks of the membership.
	memberInterval = 500 * time.Millisecond
	joinTimeout    = 3 * time.Second
)

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
		status := n.status.Load()
		switch {
		case status.Role == replicator.RoleLeader:
			n.adjustMembers(ctx, *status)
		case !n.isMember(*status) && !n.retired.Load():
			n.askToJoin(ctx)
		}
	}
}

func (n *node) isMember(status replicator.Status) bool {
	return status.Membership.IsVoter(n.id) || status.Membership.IsLearner(n.id)
}

// askToJoin asks the known controllers until the leader has added this member as a learner.
func (n *node) askToJoin(ctx context.Context) {
	params := joinParams{ID: n.id, Address: n.settings.ControllerAddress}
	for _, address := range n.settings.Controllers {
		if address == n.settings.ControllerAddress {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, joinTimeout)
		err := n.pool.Client(address).Call(attempt, methodJoin, params, nil)
		cancel()
		var failure *messenger.Error
		if errors.As(err, &failure) && failure.Kind == messenger.KindRemote && failure.Code == codeRetired {
			n.retired.Store(true)
			n.logger.Error("this member was replaced or removed; it takes part again only with an empty data folder")
			return
		}
		if err == nil {
			return
		}
		n.logger.WithField("peer", address.String()).WithError(err).Debug("could not join through this controller")
	}
}

// answerJoin adds a learner on the leader; another member passes the request on once.
func (n *node) answerJoin(ctx context.Context, params json.RawMessage) (any, error) {
	join, err := messenger.Decode[joinParams](params)
	if err != nil {
		return nil, err
	}
	status := n.status.Load()
	if status.Role == replicator.RoleLeader {
		return struct{}{}, n.join(ctx, join, *status)
	}
	leader, ok := status.Membership.Addresses[status.Leader]
	if !ok || leader == n.settings.ControllerAddress {
		return nil, &messenger.RemoteError{Code: codeNotLeader, Message: "no leader is known"}
	}
	err = n.pool.Client(leader).Call(ctx, methodJoin, join, nil)
	var failure *messenger.Error
	if errors.As(err, &failure) && failure.Kind == messenger.KindRemote {
		return nil, &messenger.RemoteError{Code: failure.Code, Message: failure.Message}
	}
	return struct{}{}, err
}

// join accepts only a member of a VM whose controller the document names at that address.
func (n *node) join(ctx context.Context, join joinParams, status replicator.Status) error {
	if status.Membership.IsVoter(join.ID) || status.Membership.IsLearner(join.ID) {
		return nil
	}
	document := n.Document()
	if document == nil {
		return &messenger.RemoteError{Code: codeRefused, Message: "no document is in force"}
	}
	vm, ok := document.VM(join.ID.VM())
	if !ok || vm.ControllerAddress.AddrPort != join.Address {
		return &messenger.RemoteError{Code: codeRefused, Message: "the document names no controller of this VM at this address"}
	}
	err := n.change(ctx, func(ref uint64) replicator.Message {
		return replicator.AddLearner{Ref: ref, ID: join.ID, Address: join.Address}
	})
	if err != nil {
		return remoteError(err)
	}
	n.logger.WithField("learner", string(join.ID)).Info("learner added")
	return nil
}

// change submits a membership change and waits until it is committed.
func (n *node) change(ctx context.Context, build func(ref uint64) replicator.Message) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := n.submit(ctx, &submission{change: build, done: make(chan result, 1)})
	return err
}

// adjustMembers makes one change at a time: a caught-up successor takes the place of the voter whose disk was lost,
// a controller that the document makes a voter is promoted, and one that it no longer names is removed.
func (n *node) adjustMembers(ctx context.Context, status replicator.Status) {
	if status.Membership.Changing() {
		return
	}
	build := n.nextChange(status.Membership)
	if build == nil {
		return
	}
	err := n.change(ctx, build)
	var refused *replicator.Error
	if errors.As(err, &refused) && (refused.Kind == replicator.KindNotCaught || refused.Kind == replicator.KindBusy) {
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
