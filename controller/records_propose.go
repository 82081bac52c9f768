package main

import (
	"context"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
)

// propose submits a view to the consensus group in the background. It drops the proposal while another one is pending,
// because the recorder proposes again as long as the view is needed.
func (r *recordMember) propose(ctx context.Context, proposal recorder.Propose) {
	if !r.proposing.CompareAndSwap(false, true) {
		return
	}
	r.peers.workers.Go(func() {
		defer r.proposing.Store(false)
		outcome, err := r.config.Host.Propose(ctx, commandOf(proposal))
		logger := r.config.Logger.WithField("view", proposal.View.Number).WithField("members", proposal.View.Members)
		if err != nil {
			logger.WithError(err).Warn("proposing the record view failed")
			return
		}
		logger.WithField("result", outcome.Result).WithField("reason", outcome.Reason).Info("record view was proposed")
	})
}

func commandOf(proposal recorder.Propose) promoter.Command {
	view := proposal.View
	if len(proposal.LostMembers) > 0 {
		return promoter.Command{StartEpoch: &promoter.StartEpoch{
			Zone: view.Zone, PreviousEpoch: view.Epoch - 1, PreviousView: view.Number - 1,
			Lost: proposal.LostMembers, Primary: view.Primary, Members: view.Members,
		}}
	}
	return promoter.Command{ChangeView: &promoter.ChangeView{
		Zone: view.Zone, Previous: view.Number - 1, Primary: view.Primary, Members: view.Members,
	}}
}
