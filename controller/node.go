package main

import (
	"context"
	"errors"

	"sequoiaspread.example/sequoia/promoter"
)

// node is one controller: the agreement, the agreed state and the connections to the others.
type node struct{}

// Propose submits a command to the agreement, through the leader when this controller is not the leader, and
// returns its outcome once it is durable on a majority. A command without outcome may be resent: with a request id
// it takes effect once, and view and lease commands compare the state that the sender saw.
func (n *node) Propose(context.Context, promoter.Command) (promoter.Outcome, error) {
	return promoter.Outcome{}, errors.New("not implemented")
}

// Read calls visit with the agreed state as applied here; visit must not keep or change it.
func (n *node) Read(visit func(state *promoter.Promoter)) {}

// Changed returns a channel that is closed at the next change of the agreed state.
func (n *node) Changed() <-chan struct{} { return nil }

// MemberID returns the member id of this controller, "<vm>#<incarnation of its disk>".
func (n *node) MemberID() string { return "" }

// IsLeader reports whether this controller leads the agreement.
func (n *node) IsLeader() bool { return false }
