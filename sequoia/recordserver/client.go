package recordserver

import (
	"context"
	"net/netip"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/recorder"
)

// CallTimeout is the timeout of one call. It is longer than the time after which a primary replies unavailable.
const CallTimeout = 4 * time.Second

// Selector returns the currently known address of the primary of an availability zone's record group.
type Selector func(zone string) (netip.AddrPort, bool)

// Client calls the record groups of availability zones.
//
// Begin follows "Retryable Writes (MongoDB driver specification)": a request whose reply was lost, or whose receiver is
// no longer the primary, is resent once with the same attempt id after the primary has been selected again. The record
// group is idempotent for the attempt id and gives the same reply to both.
type Client struct {
	pool     *messenger.Pool
	selector Selector
}

// NewClient returns a client that resends to the same address.
func NewClient(pool *messenger.Pool) *Client {
	return &Client{pool: pool}
}

// WithSelector returns a client that selects the primary again before a resend.
func (c *Client) WithSelector(selector Selector) *Client {
	return &Client{pool: c.pool, selector: selector}
}

// Begin asks for the permit to send one call. After an error or OutcomeUnavailable the attempt must not send the call.
// The outcome for the caller is then unknown, because an earlier attempt with the key may have been executed, and the
// attempt must be released with Begin.Release.
func (c *Client) Begin(ctx context.Context, primary netip.AddrPort, begin recorder.Begin) (recorder.Reply, error) {
	reply, err := c.call(ctx, primary, methodBegin, wireBegin(begin))
	if err == nil && reply.Outcome != recorder.OutcomeNotPrimary {
		return reply, nil
	}
	return c.call(ctx, c.reselectPrimary(primary, begin.Zone), methodBegin, wireBegin(begin))
}

// Finish records the result of a call. It is idempotent and can be retried until it succeeds.
func (c *Client) Finish(ctx context.Context, primary netip.AddrPort, finish recorder.Finish) (recorder.Reply, error) {
	return c.call(ctx, primary, methodFinish, wireFinish(finish))
}

// Release returns a permit if no byte of the call was sent. It is idempotent and can be retried until it succeeds.
func (c *Client) Release(ctx context.Context, primary netip.AddrPort, release recorder.Release) (recorder.Reply, error) {
	return c.call(ctx, primary, methodRelease, wireRelease(release))
}

// Lookup asks for the outcome of a key.
func (c *Client) Lookup(ctx context.Context, primary netip.AddrPort, lookup recorder.Lookup) (recorder.Reply, error) {
	return c.call(ctx, primary, methodLookup, wireLookup(lookup))
}

// Session opens a session. It is not idempotent; after a lost reply another session can be opened.
func (c *Client) Session(ctx context.Context, primary netip.AddrPort, session recorder.Session) (recorder.Reply, error) {
	return c.call(ctx, primary, methodSession, wireSession(session))
}

func (c *Client) reselectPrimary(primary netip.AddrPort, zone string) netip.AddrPort {
	if c.selector == nil {
		return primary
	}
	if address, ok := c.selector(zone); ok {
		return address
	}
	return primary
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, params any) (recorder.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var reply wireReply
	if err := c.pool.Client(address).Call(ctx, method, params, &reply); err != nil {
		return recorder.Reply{}, newError(method, KindCall, err)
	}
	return reply.decode(), nil
}
