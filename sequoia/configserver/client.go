package configserver

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
)

// attemptTimeout bounds one attempt with one controller, so that an unresponsive one does not delay the next.
const attemptTimeout = time.Second

// promoteTimeout covers an election, which a promotion may have to wait for.
const promoteTimeout = 10 * time.Second

// Client calls the controllers in the given order, starting with the one that responded most recently.
type Client struct {
	pool *messenger.Pool

	mu          sync.Mutex
	controllers []netip.AddrPort
}

// NewClient returns a client for the given controllers, which are ordered by distance, nearest first.
func NewClient(pool *messenger.Pool, controllers []netip.AddrPort) *Client {
	return &Client{pool: pool, controllers: slices.Clone(controllers)}
}

// Fetch polls for the document; the error has kind unreachable when no controller responded.
func (c *Client) Fetch(ctx context.Context, poll Poll) (Update, error) {
	var result updateResult
	if err := c.callAny(ctx, methodConfiguration, pollParams(poll), &result); err != nil {
		return Update{}, err
	}
	return result.toUpdate(poll.Have), nil
}

// FetchFrom polls one controller, for a starting process that queries each of them.
func (c *Client) FetchFrom(ctx context.Context, controller netip.AddrPort, poll Poll) (Update, error) {
	var result updateResult
	if err := c.callOne(ctx, controller, methodConfiguration, pollParams(poll), &result); err != nil {
		return Update{}, newError(methodConfiguration, KindUnreachable, err)
	}
	return result.toUpdate(poll.Have), nil
}

func (r updateResult) toUpdate(haveVersion uint64) Update {
	return Update{
		Version: r.Version, Text: r.Text, Newer: r.Version > haveVersion && len(r.Text) > 0,
		ViewsRevision: r.ViewsRevision, Views: r.Views,
	}
}

// Promote requests a promotion; it is safe to resend with the same request id until an outcome is returned.
func (c *Client) Promote(ctx context.Context, promotion Promotion) (promoter.Outcome, error) {
	var outcome promoter.Outcome
	err := c.callAny(ctx, methodPromote, promoteParams(promotion), &outcome)
	return outcome, err
}

// Status returns the status of the first controller that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.callAny(ctx, methodStatus, struct{}{}, &status)
	return status, err
}

// History returns the accepted promotions, oldest first.
func (c *Client) History(ctx context.Context) ([]promoter.Promotion, error) {
	var history []promoter.Promotion
	err := c.callAny(ctx, methodHistory, struct{}{}, &history)
	return history, err
}

// callAny calls each controller once until one responds.
func (c *Client) callAny(ctx context.Context, method string, params, result any) error {
	c.mu.Lock()
	controllers := slices.Clone(c.controllers)
	c.mu.Unlock()
	failure := errors.New("no controller is known")
	for _, controller := range controllers {
		failure = c.callOne(ctx, controller, method, params, result)
		if failure == nil {
			c.moveToFront(controller)
			return nil
		}
		var remote *messenger.Error
		if errors.As(failure, &remote) && remote.Kind == messenger.KindRemote && remote.Code == messenger.CodeInvalidParams {
			return newError(method, KindRefused, failure)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return newError(method, KindUnreachable, failure)
}

func (c *Client) callOne(ctx context.Context, controller netip.AddrPort, method string, params, result any) error {
	timeout := attemptTimeout
	if method == methodPromote {
		timeout = promoteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.pool.Client(controller).Call(ctx, method, params, result)
}

// moveToFront moves a controller that responded to the front.
func (c *Client) moveToFront(controller netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.Index(c.controllers, controller)
	if index > 0 {
		c.controllers = slices.Insert(slices.Delete(c.controllers, index, index+1), 0, controller)
	}
}
