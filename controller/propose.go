package main

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/promoter"
)

// Propose submits a command to the agreement, through the leader when this controller is not the leader, and
// returns its outcome once it is durable on a majority. A command without a request id gets one, so that attempts
// after a lost reply take effect once; lease renewals need none. The error has kind undecided when no outcome came
// in time: the command may still take effect.
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
	outcome, err := n.agreement.Propose(ctx, command)
	return outcome, fromAgreement(err)
}

// fromAgreement gives an error of the agreement the kind that the operators' interface answers by.
func fromAgreement(err error) error {
	var failure *agreer.Error
	if errors.As(err, &failure) {
		return wrapError("propose", errorKind(failure.Kind), err)
	}
	return err
}
