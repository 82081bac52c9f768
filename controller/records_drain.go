package main

import (
	"context"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
)

// drainTimeout is how long a stopping member waits for a committed view without it.
const drainTimeout = 3 * time.Second

// drainer is an extension that transfers its duties to other controllers before this one stops.
type drainer interface {
	drain(ctx context.Context)
}

// drainExtensions drains the extensions while the consensus member still runs.
func (c *controller) drainExtensions(ctx context.Context) {
	for _, ext := range c.extensions {
		if d, ok := ext.(drainer); ok {
			d.drain(ctx)
		}
	}
}

// drain shuts the recorder down and waits for a view without this member, so that bookings do not stall until its
// heartbeats time out.
func (r *recordMember) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	select {
	case r.inputs <- recordInput{message: recorder.Shutdown{}}:
	case <-ctx.Done():
		return
	}
	for {
		changed := r.config.Host.Changed()
		if !r.inViewWithOthers() {
			return
		}
		select {
		case <-changed:
		case <-r.stopped:
			return
		case <-ctx.Done():
			r.config.Logger.Warn("timed out waiting for a record view without this member")
			return
		}
	}
}

// inViewWithOthers reports whether the committed view contains this member and at least one other.
func (r *recordMember) inViewWithOthers() bool {
	var view promoter.View
	r.config.Host.Read(func(state *promoter.Promoter) { view, _ = state.View(r.config.Zone) })
	return len(view.Members) > 1 && slices.Contains(view.Members, r.config.Host.MemberID())
}
