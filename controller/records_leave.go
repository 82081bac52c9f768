package main

import (
	"context"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
)

// leaveTimeout bounds how long a stopping member waits until the agreement has a view without it.
const leaveTimeout = 3 * time.Second

// leaver is an extension that hands its duties over before the controller stops.
type leaver interface {
	leave(ctx context.Context)
}

// leaveGroups lets the extensions hand over while the agreement still works.
func (c *controller) leaveGroups(ctx context.Context) {
	for _, each := range c.extensions {
		if group, ok := each.(leaver); ok {
			group.leave(ctx)
		}
	}
}

// leave makes another member the primary, so that bookings do not wait until this one is found silent.
func (r *records) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	select {
	case r.inputs <- recordInput{message: recorder.Shutdown{}}:
	case <-ctx.Done():
		return
	}
	for {
		changed := r.config.Host.Changed()
		if !r.canLeave() {
			return
		}
		select {
		case <-changed:
		case <-r.stopped:
			return
		case <-ctx.Done():
			r.config.Logger.Warn("no other member took over the records in time")
			return
		}
	}
}

// canLeave reports whether the agreed view still has this member and another one.
func (r *records) canLeave() bool {
	var view promoter.View
	r.config.Host.Read(func(state *promoter.Promoter) { view, _ = state.View(r.config.Zone) })
	return len(view.Members) > 1 && slices.Contains(view.Members, r.config.Host.MemberID())
}
