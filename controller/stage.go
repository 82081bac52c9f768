package main

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// stage is a group of servers that stop together, before the work that their calls in progress need.
type stage struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
	work   sync.WaitGroup
}

func newStage(ctx context.Context, group *errgroup.Group) *stage {
	ctx, cancel := context.WithCancel(ctx)
	return &stage{ctx: ctx, cancel: cancel, group: group}
}

// start runs a server until the stage stops; it must not be called after stop.
func (s *stage) start(run func(ctx context.Context) error) {
	s.work.Add(1)
	s.group.Go(func() error {
		defer s.work.Done()
		return run(s.ctx)
	})
}

// stop ends the servers and waits for their calls in progress.
func (s *stage) stop() {
	s.cancel()
	s.work.Wait()
}
