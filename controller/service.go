package main

import (
	"context"
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

// predecessorTimeout covers a few heartbeats of the consensus group.
const predecessorTimeout = time.Second

// Configuration responds to a poll with the state of this node, without asking the leader.
func (n *node) Configuration(poll configserver.Poll) configserver.Update {
	n.pollers.record(poll)
	n.mu.RLock()
	defer n.mu.RUnlock()
	current := n.enforcer.Current()
	views := n.state.Views()
	update := configserver.Update{Version: current.Version, ViewsRevision: configserver.ViewsRevision(views)}
	if current.Version > poll.Have {
		update.Newer = true
		update.Text = current.Text
	}
	if update.ViewsRevision > poll.HaveViews {
		update.Views = views
	}
	return update
}

// Promote validates a document and proposes it as the given version.
func (n *node) Promote(ctx context.Context, promotion configserver.Promotion) (promoter.Outcome, error) {
	document, err := parser.Parse("document", promotion.Document)
	if err != nil {
		return promoter.Outcome{}, wrapError("promote", kindDocument, err)
	}
	if document.Environment.Version != promotion.Version {
		reason := fmt.Sprintf("the document has version %d, the promotion %d", document.Environment.Version, promotion.Version)
		return promoter.Outcome{}, newError("promote", kindDocument, reason)
	}
	if err := n.validateTransition(ctx, document); err != nil {
		return promoter.Outcome{}, err
	}
	return n.Propose(ctx, promoter.Command{RequestID: promotion.RequestID, Promote: &promoter.Promote{
		Version: promotion.Version, Text: promotion.Document, Digest: documentDigest(document),
		Operator: promotion.Operator, WithoutTrial: promotion.WithoutTrial,
	}})
}

// validateTransition checks that a document may replace the enforced one. The state machine accepts only the version
// that follows the current one, so if the document follows the one enforced here, it is compared with its true
// predecessor. A resend of an accepted version passes, because the state machine knows its outcome.
func (n *node) validateTransition(ctx context.Context, document *parser.Document) error {
	current := n.awaitPredecessor(ctx, document.Environment.Version)
	if current == nil || document.Environment.Version <= current.Environment.Version {
		return nil
	}
	if document.Environment.Version > current.Environment.Version+1 {
		reason := fmt.Sprintf("version %d is in force here; the document must have the version that follows", current.Environment.Version)
		return newError("promote", kindRefused, reason)
	}
	if err := parser.CheckTransition(current, document); err != nil {
		return wrapError("promote", kindDocument, err)
	}
	return nil
}

// awaitPredecessor returns the enforced document, after waiting up to predecessorTimeout for the predecessor of a
// version: a follower may apply an accepted version shortly after the operator sees its outcome.
func (n *node) awaitPredecessor(ctx context.Context, version uint64) *parser.Document {
	ctx, cancel := context.WithTimeout(ctx, predecessorTimeout)
	defer cancel()
	for {
		changed := n.Changed()
		current := n.Document()
		if current != nil && current.Environment.Version+1 >= version {
			return current
		}
		select {
		case <-ctx.Done():
			return current
		case <-changed:
		}
	}
}

// RecordTrial validates a document, records its trial and returns its differences from the enforced document.
func (n *node) RecordTrial(ctx context.Context, requestID, operator string, text []byte) ([]parser.Change, error) {
	document, err := parser.Parse("document", text)
	if err != nil {
		return nil, wrapError("trial", kindDocument, err)
	}
	outcome, err := n.Propose(ctx, promoter.Command{
		RequestID: requestID, Trial: &promoter.Trial{Digest: documentDigest(document), Operator: operator},
	})
	if err != nil {
		return nil, err
	}
	if !outcome.Accepted() {
		return nil, newError("trial", kindRefused, outcome.Reason)
	}
	current := n.Document()
	if current == nil {
		current = &parser.Document{}
	}
	return parser.Diff(current, document), nil
}

// Status returns this controller's view of the consensus group, the record views and the recent pollers.
func (n *node) Status() configserver.Status {
	status := n.consensus.Status()
	n.mu.RLock()
	defer n.mu.RUnlock()
	return configserver.Status{
		Member: string(n.id), Role: string(status.Role), Leader: string(status.Leader), Term: status.Term,
		Commit: status.Commit, Version: n.enforcer.Current().Version,
		Voters: memberIDStrings(status.Membership.Voters), OldVoters: memberIDStrings(status.Membership.OldVoters),
		Learners: memberIDStrings(status.Membership.Learners), Views: n.state.Views(), Pollers: n.pollers.list(),
	}
}

// History returns the accepted promotions as applied on this node, oldest first.
func (n *node) History() []promoter.Promotion {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.History()
}

func memberIDStrings(ids []replicator.MemberID) []string {
	list := make([]string, 0, len(ids))
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}
