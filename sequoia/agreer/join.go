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

// joinTimeout bounds one attempt to join, and one membership change.
const joinTimeout = 3 * time.Second

// MethodFunc handles one jsonrpc2 method.
type MethodFunc = func(ctx context.Context, params json.RawMessage) (any, error)

// JoinRequest holds the id and the address of a member that asks to become a learner.
type JoinRequest struct {
	ID      replicator.MemberID `json:"id"`
	Address netip.AddrPort      `json:"address"`
}

// Methods returns the handlers of the methods that other members call; admit returns why a member may not join, or nil.
func (a *Agreer[C, O]) Methods(admit func(join JoinRequest) error) map[string]MethodFunc {
	return map[string]MethodFunc{
		methodReplicate: a.handleReplicate,
		methodPropose:   a.handlePropose,
		methodJoin: func(ctx context.Context, params json.RawMessage) (any, error) {
			return a.handleJoin(ctx, params, admit)
		},
	}
}

// IsMember reports whether this member is a voter or learner of the membership as it knows it.
func (a *Agreer[C, O]) IsMember() bool {
	membership := a.status.Load().Membership
	return membership.IsVoter(a.config.ID) || membership.IsLearner(a.config.ID)
}

// RequestJoin asks the other members in turn until the leader, directly or through one of them, has added this member
// as a learner. It returns true when the id was replaced or removed and can never rejoin.
func (a *Agreer[C, O]) RequestJoin(ctx context.Context, others []netip.AddrPort) (retired bool) {
	params := JoinRequest{ID: a.config.ID, Address: a.config.Address}
	for _, address := range others {
		if address == a.config.Address {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, joinTimeout)
		err := a.config.Pool.Client(address).Call(attempt, methodJoin, params, nil)
		cancel()
		if err == nil {
			return false
		}
		var failure *messenger.Error
		if errors.As(err, &failure) && failure.Kind == messenger.KindRemote && failure.Code == codeRetired {
			return true
		}
		a.config.Logger.WithField("peer", address.String()).WithError(err).Debug("join request failed")
	}
	return false
}

// handleJoin adds a learner on the leader; any other member forwards the request once.
func (a *Agreer[C, O]) handleJoin(ctx context.Context, params json.RawMessage, admit func(join JoinRequest) error) (any, error) {
	join, err := messenger.Decode[JoinRequest](params)
	if err != nil {
		return nil, err
	}
	status := a.Status()
	if status.Role == replicator.RoleLeader {
		return struct{}{}, a.addLearner(ctx, join, status, admit)
	}
	leader, ok := status.Membership.Addresses[status.Leader]
	if !ok || leader == a.config.Address {
		return nil, &messenger.RemoteError{Code: codeNotLeader, Message: "no leader is known"}
	}
	err = a.config.Pool.Client(leader).Call(ctx, methodJoin, join, nil)
	var failure *messenger.Error
	if errors.As(err, &failure) && failure.Kind == messenger.KindRemote {
		return nil, &messenger.RemoteError{Code: failure.Code, Message: failure.Message}
	}
	return struct{}{}, err
}

func (a *Agreer[C, O]) addLearner(ctx context.Context, join JoinRequest, status replicator.Status, admit func(join JoinRequest) error) error {
	if status.Membership.IsVoter(join.ID) || status.Membership.IsLearner(join.ID) {
		return nil
	}
	if err := admit(join); err != nil {
		return &messenger.RemoteError{Code: codeRefused, Message: err.Error()}
	}
	err := a.ChangeMembership(ctx, func(ref uint64) replicator.Message {
		return replicator.AddLearner{Ref: ref, ID: join.ID, Address: join.Address}
	})
	if err != nil {
		return remoteError(err)
	}
	a.config.Logger.WithField("learner", string(join.ID)).Info("learner added")
	return nil
}
