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
func (c *Client) Report(ctx context.Context, coordinator netip.AddrPort, report Report) (Reply, error) {
	var reply Reply
	err := c.pool.Client(coordinator).Call(ctx, methodReport, report, &reply)
	return reply, err
}

// Fetch returns the state in force at one coordinator.
func (c *Client) Fetch(ctx context.Context, coordinator netip.AddrPort) (State, error) {
	var state State
	err := c.pool.Client(coordinator).Call(ctx, methodFetch, struct{}{}, &state)
	return state, err
}

// Logged returns the state at the end of the log of a restarted voter.
func (c *Client) Logged(ctx context.Context, coordinator netip.AddrPort) (State, error) {
	var state State
	err := c.pool.Client(coordinator).Call(ctx, methodLogged, struct{}{}, &state)
	return state, err
}
