package main

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// stopCheckInterval is how often a stopping gateway looks whether callers can still come to it.
const drainPollInterval = 50 * time.Millisecond

// stop ends the service without interrupting a request: other gateways stop listing this one, requests are accepted
// until no valid directory answer can name it, then the requests in progress finish.
func (g *gateway) drain(ctx context.Context, servers []*http.Server) error {
	g.stopping.Store(true)
	g.log.Info("stop begins")
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
	g.log.Info("stop is complete")
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
