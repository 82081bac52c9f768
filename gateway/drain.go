package main

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// drainPollInterval is how often a draining gateway checks whether a valid directory response can still list it.
const drainPollInterval = 50 * time.Millisecond

// drain performs a graceful drain without interrupting a request: the other gateways stop listing this one, requests
// are accepted until no valid directory response lists it, and then the requests in progress complete.
func (g *gateway) drain(ctx context.Context, servers []*http.Server) error {
	g.stopping.Store(true)
	g.log.Info("graceful drain started")
	g.members.markStopping()
	g.locatorLock.Lock()
	g.locator.MarkStopping(g.now(), g.settings.VM)
	g.locatorLock.Unlock()
	g.sendHeartbeats(ctx)
	g.waitUntilUnlisted(ctx)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.drainTiming.timeout)
	defer cancel()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error { return server.Shutdown(drain) })
	}
	if err := group.Wait(); err != nil {
		for _, server := range servers {
			_ = server.Close()
		}
		return eris.Wrap(err, "requests in progress did not end within the drain timeout")
	}
	g.log.Info("graceful drain completed")
	return nil
}

func (g *gateway) waitUntilUnlisted(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		g.locatorLock.Lock()
		done := g.locator.Drained(g.now(), g.settings.VM)
		g.locatorLock.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
