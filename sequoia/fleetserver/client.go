package fleetserver

import (
	"context"
	"net/netip"

	"sequoiaspread.example/sequoia/messenger"
)

// Client calls coordinators.
type Client struct {
	pool *messenger.Pool
}

// NewClient returns a client that uses the connections of the given pool.
func NewClient(pool *messenger.Pool) *Client {
	return &Client{pool: pool}
}

// SendHeartbeat sends a heartbeat to one coordinator and returns its reply.
func (c *Client) SendHeartbeat(ctx context.Context, coordinator netip.AddrPort, heartbeat Heartbeat) (HeartbeatReply, error) {
	var reply HeartbeatReply
	err := c.pool.Client(coordinator).Call(ctx, methodHeartbeat, heartbeat, &reply)
	return reply, err
}

// RequestLease reports demand to one coordinator and returns its reply.
func (c *Client) RequestLease(ctx context.Context, coordinator netip.AddrPort, request LeaseRequest) (LeaseReply, error) {
	var reply LeaseReply
	err := c.pool.Client(coordinator).Call(ctx, methodLease, request, &reply)
	return reply, err
}

// FetchAppliedState returns the state applied by one coordinator.
func (c *Client) FetchAppliedState(ctx context.Context, coordinator netip.AddrPort) (State, error) {
	return c.fetchState(ctx, coordinator, methodAppliedState)
}

// FetchReplayedState returns the state at the end of the log of a restarted voter.
func (c *Client) FetchReplayedState(ctx context.Context, coordinator netip.AddrPort) (State, error) {
	return c.fetchState(ctx, coordinator, methodReplayedState)
}

// fetchState uses a connection of its own: heartbeats do not wait behind a large state, and closing the connection of a
// fetch that was given up ends the transfer.
func (c *Client) fetchState(ctx context.Context, coordinator netip.AddrPort, method string) (State, error) {
	client := c.pool.NewClient(coordinator)
	// The connection carries nothing else, so an error on closing it has no effect.
	defer func() { _ = client.Close() }()
	var state State
	err := client.Call(ctx, method, struct{}{}, &state)
	return state, err
}
