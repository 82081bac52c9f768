package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	// proposeTimeout covers two elections.
	proposeTimeout = 8 * time.Second
	// forwardTimeout bounds one attempt with a leader that may be cut off.
	forwardTimeout = 3 * time.Second
	// proposeRetryDelay is the pause before the leader is looked up again.
	proposeRetryDelay = 100 * time.Millisecond
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
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		outcome, err := n.proposeOnce(ctx, command)
		if err == nil || !mayRetry(err) {
			return outcome, err
		}
		select {
		case <-ctx.Done():
			return outcome, wrapError("propose", kindUndecided, err)
		case <-time.After(proposeRetryDelay):
		}
	}
}

func mayRetry(err error) bool {
	var failure *controllerError
	if !errors.As(err, &failure) {
		return false
	}
	return failure.kind == kindNotLeader || failure.kind == kindUndecided || failure.kind == kindUnreachable
}

func (n *node) proposeOnce(ctx context.Context, command promoter.Command) (promoter.Outcome, error) {
	status := n.status.Load()
	if status.Role == replicator.RoleLeader {
		return n.submit(ctx, &submission{command: &command, done: make(chan result, 1)})
	}
	address, ok := n.addressOf(status.Leader, status.Membership)
	if !ok {
		return promoter.Outcome{}, newError("propose", kindNotLeader, "no leader is known")
	}
	return n.forward(ctx, address, command)
}

// submit hands a submission to the driver and waits for its outcome.
func (n *node) submit(ctx context.Context, s *submission) (promoter.Outcome, error) {
	if err := n.input(ctx, input{submission: s}); err != nil {
		return promoter.Outcome{}, err
	}
	select {
	case done := <-s.done:
		return done.outcome, done.err
	case <-ctx.Done():
		return promoter.Outcome{}, wrapError("propose", kindUndecided, ctx.Err())
	}
}

func (n *node) forward(ctx context.Context, leader netip.AddrPort, command promoter.Command) (promoter.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var outcome promoter.Outcome
	err := n.pool.Client(leader).Call(ctx, methodPropose, command, &outcome)
	if err == nil {
		return outcome, nil
	}
	return outcome, wrapError("forward proposal", forwardKind(err), err)
}

func forwardKind(err error) errorKind {
	var failure *messenger.Error
	if !errors.As(err, &failure) || failure.Kind != messenger.KindRemote {
		return kindUnreachable
	}
	switch failure.Code {
	case codeNotLeader:
		return kindNotLeader
	case codeUndecided:
		return kindUndecided
	}
	return kindRefused
}

// answerPropose takes a command from another controller; only the leader does.
func (n *node) answerPropose(ctx context.Context, params json.RawMessage) (any, error) {
	command, err := messenger.Decode[promoter.Command](params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	outcome, err := n.submit(ctx, &submission{command: &command, done: make(chan result, 1)})
	if err != nil {
		return nil, remoteError(err)
	}
	return outcome, nil
}

func remoteError(err error) error {
	code := int64(codeRefused)
	var failure *controllerError
	if errors.As(err, &failure) {
		switch failure.kind {
		case kindNotLeader:
			code = codeNotLeader
		case kindUndecided, kindStopped:
			code = codeUndecided
		}
	}
	var refused *replicator.Error
	if errors.As(err, &refused) && refused.Kind == replicator.KindRetired {
		code = codeRetired
	}
	return &messenger.RemoteError{Code: code, Message: err.Error()}
}

// answerReplicate hands the messages of another member to the driver; what a full queue drops is sent again.
func (n *node) answerReplicate(_ context.Context, params json.RawMessage) (any, error) {
	messages, address, err := decodeMessages(params)
	if err != nil {
		return nil, err
	}
	for _, message := range messages {
		n.learnAddress(message.Head().From, address)
		select {
		case n.driver.inputs <- input{message: message}:
		default:
		}
	}
	return struct{}{}, nil
}
