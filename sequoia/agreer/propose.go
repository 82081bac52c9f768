package agreer

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	// proposeTimeout covers two elections.
	proposeTimeout = 8 * time.Second
	// forwardTimeout bounds one attempt with a leader that may be partitioned.
	forwardTimeout = 3 * time.Second
	// proposeRetryDelay is the delay before the next attempt, which looks up the leader again.
	proposeRetryDelay = 100 * time.Millisecond
)

// Propose submits a command, through the leader when this member is not the leader, and returns its outcome once it is
// durable on a majority. Failed attempts are retried within the context, so a command must be idempotent. The error has
// kind undecided when no outcome was known in time.
func (a *Agreer[C, O]) Propose(ctx context.Context, command C) (O, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		outcome, err := a.proposeOnce(ctx, command)
		if err == nil || !isRetryable(err) {
			return outcome, err
		}
		select {
		case <-ctx.Done():
			return outcome, wrapError("propose", KindUndecided, err)
		case <-time.After(proposeRetryDelay):
		}
	}
}

func isRetryable(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Kind == KindNotLeader || failure.Kind == KindUndecided || failure.Kind == KindUnreachable
}

func (a *Agreer[C, O]) proposeOnce(ctx context.Context, command C) (O, error) {
	status := a.Status()
	if status.Role == replicator.RoleLeader {
		return a.submit(ctx, &submission[C, O]{command: &command, done: make(chan result[O], 1)})
	}
	address, ok := a.MemberAddress(status.Leader, status.Membership)
	if !ok {
		return *new(O), newProposeError(KindNotLeader, "no leader is known")
	}
	return a.forward(ctx, address, command)
}

// submit queues a submission for the driver and waits for its outcome.
func (a *Agreer[C, O]) submit(ctx context.Context, s *submission[C, O]) (O, error) {
	if err := a.enqueue(ctx, input[C, O]{submission: s}); err != nil {
		return *new(O), err
	}
	select {
	case done := <-s.done:
		return done.outcome, done.err
	case <-ctx.Done():
		return *new(O), wrapError("propose", KindUndecided, ctx.Err())
	}
}

func (a *Agreer[C, O]) forward(ctx context.Context, leader netip.AddrPort, command C) (O, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var outcome O
	err := a.config.Pool.Client(leader).Call(ctx, methodPropose, command, &outcome)
	if err == nil {
		return outcome, nil
	}
	return outcome, wrapError("forward proposal", forwardErrorKind(err), err)
}

func forwardErrorKind(err error) Kind {
	var failure *messenger.Error
	if !errors.As(err, &failure) || failure.Kind != messenger.KindRemote {
		return KindUnreachable
	}
	switch failure.Code {
	case codeNotLeader:
		return KindNotLeader
	case codeUndecided:
		return KindUndecided
	}
	return KindRefused
}

// handlePropose submits a command that another member forwarded; it fails unless this member is the leader.
func (a *Agreer[C, O]) handlePropose(ctx context.Context, params json.RawMessage) (any, error) {
	command, err := messenger.Decode[C](params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	outcome, err := a.submit(ctx, &submission[C, O]{command: &command, done: make(chan result[O], 1)})
	if err != nil {
		return nil, remoteError(err)
	}
	return outcome, nil
}

func remoteError(err error) error {
	code := int64(codeRefused)
	var failure *Error
	if errors.As(err, &failure) {
		switch failure.Kind {
		case KindNotLeader:
			code = codeNotLeader
		case KindUndecided, KindStopped:
			code = codeUndecided
		}
	}
	var refused *replicator.Error
	if errors.As(err, &refused) && refused.Kind == replicator.KindRetired {
		code = codeRetired
	}
	return &messenger.RemoteError{Code: code, Message: err.Error()}
}

// handleReplicate queues the messages of another member for the driver; messages that do not fit are dropped, and the
// replicator of the sender resends them.
func (a *Agreer[C, O]) handleReplicate(_ context.Context, params json.RawMessage) (any, error) {
	messages, address, err := decodeMessages(params)
	if err != nil {
		return nil, err
	}
	for _, message := range messages {
		a.learnAddress(message.MessageHeader().From, address)
		select {
		case a.inputs <- input[C, O]{message: message}:
		default:
		}
	}
	return struct{}{}, nil
}
