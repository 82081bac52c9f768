package main

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/promoter"
)

// Propose submits a command to the consensus group, through the leader if this controller is not the leader, and
// returns its outcome once the command is durable on a majority. A command without a request id is given one, so that
// retries after a lost reply are idempotent; lease renewals need none. The error has kind undecided if there was no
// outcome in time: the command may still take effect.
func (n *node) Propose(ctx context.Context, command promoter.Command) (promoter.Outcome, error) {
	if command.RequestID == "" && command.RenewLease == nil {
		id, err := uuid.NewV7()
		if err != nil {
			return promoter.Outcome{}, wrapError("propose", kindRefused, err)
		}
		command.RequestID = id.String()
	}
	if command.Issued.IsZero() && command.RenewLease == nil {
		command.Issued = time.Now()
	}
	outcome, err := n.consensus.Propose(ctx, command)
	return outcome, wrapConsensusError(err)
}

// wrapConsensusError keeps the kind of a consensus error, from which the operator API chooses its response.
func wrapConsensusError(err error) error {
	var consensusErr *agreer.Error
	if errors.As(err, &consensusErr) {
		return wrapError("propose", errorKind(consensusErr.Kind), err)
	}
	return err
}
