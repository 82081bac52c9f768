package main

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// serverGroup is a group of servers that are shut down together, before the components that their requests in progress
// depend on.
type serverGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	group   *errgroup.Group
	running sync.WaitGroup
}

func newServerGroup(ctx context.Context, group *errgroup.Group) *serverGroup {
	ctx, cancel := context.WithCancel(ctx)
	return &serverGroup{ctx: ctx, cancel: cancel, group: group}
}

// start runs a server until stop is called; it must not be called after stop.
func (s *serverGroup) start(run func(ctx context.Context) error) {
	s.running.Add(1)
	s.group.Go(func() error {
		defer s.running.Done()
		return run(s.ctx)
	})
}

// stop shuts the servers down and waits for their requests in progress.
func (s *serverGroup) stop() {
	s.cancel()
	s.running.Wait()
}
