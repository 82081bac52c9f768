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

// MethodFunc answers one jsonrpc2 method.
type MethodFunc = func(ctx context.Context, params json.RawMessage) (any, error)

// Join names a member that asks to become a learner, and where it answers.
type JoinRequest struct {
	ID      replicator.MemberID `json:"id"`
	Address netip.AddrPort      `json:"address"`
}

// Methods returns the methods that other members call; admit says whether a member may join.
func (a *Agreer[C, O]) Methods(admit func(join JoinRequest) error) map[string]MethodFunc {
	return map[string]MethodFunc{
		methodReplicate: a.answerReplicate,
		methodPropose:   a.answerPropose,
		methodJoin: func(ctx context.Context, params json.RawMessage) (any, error) {
			return a.answerJoin(ctx, params, admit)
		},
	}
}

// IsMember reports whether this member belongs to the agreement as it knows it.
func (a *Agreer[C, O]) IsMember() bool {
	membership := a.status.Load().Membership
	return membership.IsVoter(a.config.ID) || membership.IsLearner(a.config.ID)
}

// AskToJoin asks other members until one has had the leader add this one as a learner; retired is true when the id
// was replaced or removed and can never take part again.
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
		a.config.Logger.WithField("peer", address.String()).WithError(err).Debug("could not join through this member")
	}
	return false
}

// answerJoin adds a learner on the leader; another member passes the request on once.
func (a *Agreer[C, O]) answerJoin(ctx context.Context, params json.RawMessage, admit func(join JoinRequest) error) (any, error) {
	join, err := messenger.Decode[JoinRequest](params)
	if err != nil {
		return nil, err
	}
	status := a.Status()
	if status.Role == replicator.RoleLeader {
		return struct{}{}, a.join(ctx, join, status, admit)
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

func (a *Agreer[C, O]) join(ctx context.Context, join JoinRequest, status replicator.Status, admit func(join JoinRequest) error) error {
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
