package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/messenger"
)

// lossyHandler fails a share of the calls after a delay, as if a message were lost and its connection hung.
type lossyHandler struct {
	messenger.Handler
	mu     sync.Mutex
	random *rand.Rand
}

// Handle fails a random 1 of 100 calls after 2 s and passes the other 99 on.
func (h *lossyHandler) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	h.mu.Lock()
	lost := h.random.IntN(100) == 0
	h.mu.Unlock()
	if lost {
		time.Sleep(2 * time.Second)
		return nil, &messenger.RemoteError{Code: messenger.CodeInternal, Message: "lost"}
	}
	return h.Handler.Handle(ctx, method, params)
}

// Guards against a change that takes more than 3 s from its acceptance until the last of 80 processes enforces it, with
// one call in a hundred lost between controllers and from processes to controllers.
func testPollersWithLoss(t *testing.T) {
	const processes, rounds, interval, maxElapsed = 80, 5, 500 * time.Millisecond, 3 * time.Second
	c := newCluster(t, 6)
	for vm, settings := range c.settings {
		assert.NilError(t, initialise(context.Background(), settings, filepath.Join(c.folder, "document.toml")))
		c.start(vm, func(assembled *controller) {
			assembled.handler = &lossyHandler{Handler: assembled.handler, random: rand.New(rand.NewPCG(1, uint64(len(c.running))))}
		})
	}
	c.leader()
	ctx, cancel := context.WithCancel(context.Background())
	versions := make([]atomic.Uint64, processes)
	var work sync.WaitGroup
	for i := range processes {
		work.Go(func() { c.runPoller(ctx, i, interval, &versions[i]) })
	}
	defer func() {
		cancel()
		work.Wait()
	}()
	for version := uint64(2); version < 2+rounds; version++ {
		outcome, err := c.promote(c.leader(), version, "ann")
		assert.NilError(t, err)
		assert.Assert(t, outcome.Accepted())
		start := time.Now()
		c.eventually("all processes to enforce the version", func() bool {
			for i := range versions {
				if versions[i].Load() < version {
					return false
				}
			}
			return true
		})
		elapsed := time.Since(start)
		t.Logf("version %d enforced by the last of %d processes after %v", version, processes, elapsed)
		assert.Assert(t, elapsed < maxElapsed)
	}
}

// runPoller simulates a process without a disk that polls the two controllers of an availability zone.
func (c *cluster) runPoller(ctx context.Context, index int, interval time.Duration, version *atomic.Uint64) {
	zones := []string{"cairo-a", "alex-a", "aswan-a"}
	zone := zones[index%len(zones)]
	pool := messenger.NewPool(messenger.PoolConfig{Logger: testLogger()})
	defer func() { _ = pool.Close() }()
	client := configserver.NewClient(pool, []netip.AddrPort{c.settings[zone+"-1"].ControllerAddress, c.settings[zone+"-2"].ControllerAddress})
	e := enforcer.New(enforcer.Config{})
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		update, err := client.Fetch(ctx, configserver.Poll{VM: zone, Zone: zone, Have: e.Current().Version})
		if err == nil && update.Newer {
			if _, err := e.Offer(enforcer.Document{Version: update.Version, Text: update.Text}); err == nil {
				version.Store(e.Current().Version)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
