package fleetserver

import (
	"context"
	"net/netip"

	"sequoiaspread.example/sequoia/messenger"
)

// Client reports to coordinators.
type Client struct {
	pool *messenger.Pool
}

// NewClient returns a client that uses the connections of a pool.
func NewClient(pool *messenger.Pool) *Client {
	return &Client{pool: pool}
}

// Report sends a heartbeat to one coordinator.
func (c *Client) SendHeartbeat(ctx context.Context, coordinator netip.AddrPort, report Heartbeat) (HeartbeatReply, error) {
	var reply HeartbeatReply
	err := c.pool.Client(coordinator).Call(ctx, methodReport, report, &reply)
	return reply, err
}

// Fetch returns the state in force at one coordinator.
func (c *Client) FetchAppliedState(ctx context.Context, coordinator netip.AddrPort) (State, error) {
	var state State
	err := c.pool.Client(coordinator).Call(ctx, methodFetch, struct{}{}, &state)
	return state, err
}

// Logged returns the state at the end of the log of a restarted voter.
func (c *Client) FetchReplayedState(ctx context.Context, coordinator netip.AddrPort) (State, error) {
	var state State
	err := c.pool.Client(coordinator).Call(ctx, methodLogged, struct{}{}, &state)
	return state, err
}
