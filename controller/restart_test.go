package main

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/messenger"
)

// Guards against a controller that serves a lower version after it restarts while no other controller is running.
func testRestartAlone(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	for version := uint64(2); version < 5; version++ {
		_, err := c.promote(leader, version, "ann")
		assert.NilError(t, err)
	}
	for _, r := range c.running {
		c.eventually("version 4", func() bool { return r.node.enforcedVersion() == 4 })
	}
	c.stopAll()
	for vm := range c.settings {
		r := c.start(vm)
		update := r.node.Configuration(configserver.Poll{VM: "any"})
		assert.Equal(t, update.Version, uint64(4), "on %s", vm)
		c.stop(vm)
	}
}

// Guards against a process without a disk that returns to a lower version after a restart while its availability zone
// is partitioned: one controller of the zone lags, and a peer is ahead of both controllers.
func testDisklessRestart(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	_, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	for _, r := range c.running {
		c.eventually("version 2", func() bool { return r.node.enforcedVersion() == 2 })
	}
	c.stopAll()
	lagging := c.start("aswan-a-1")
	c.start("aswan-a-2")
	pool := messenger.NewPool(messenger.PoolConfig{Logger: testLogger()})
	defer func() { assert.Check(t, pool.Close()) }()
	client := configserver.NewClient(pool, nil)
	e := enforcer.New(enforcer.Config{Sources: []string{"aswan-a-1", "peer", "aswan-a-2"}})
	poll := func(name string, address netip.AddrPort) {
		var update configserver.Update
		c.eventually("a response from "+name, func() bool {
			var err error
			update, err = client.FetchFrom(context.Background(), address, configserver.Poll{VM: "aswan-a-3", Zone: "aswan-a", Have: e.Current().Version})
			return err == nil
		})
		if update.Newer {
			_, err := e.Offer(enforcer.Document{Version: update.Version, Text: update.Text})
			assert.NilError(t, err)
		}
		e.RecordResponse(name, true)
	}
	poll("aswan-a-1", lagging.settings.ControllerAddress)
	assert.Assert(t, !e.Ready(), "ready before the peer was asked")
	_, err = e.Offer(enforcer.Document{Version: 3, Text: []byte("ahead")})
	assert.NilError(t, err)
	e.RecordResponse("peer", true)
	poll("aswan-a-2", c.settings["aswan-a-2"].ControllerAddress)
	assert.Assert(t, e.Ready())
	text, version := lagging.node.committedDocument()
	_, err = e.Offer(enforcer.Document{Version: version, Text: text})
	assert.NilError(t, err)
	assert.Equal(t, e.Current().Version, uint64(3))
}

// Guards against a restart that replays hundreds of changes: it must complete before the others elect a new leader.
func testRestartAfterChanges(t *testing.T) {
	// The log holds at most the 256 entries since the last snapshot and the 64 retained before it.
	const changes, maxElapsed, maxEntries = 1000, 1500 * time.Millisecond, 256 + 64
	c := newCluster(t, 1)
	c.startAll()
	leader := c.leader()
	for version := uint64(2); version < 2+changes; version++ {
		outcome, err := c.promote(leader, version, "ann")
		assert.NilError(t, err)
		assert.Assert(t, outcome.Accepted())
	}
	c.stop("cairo-a-1")
	start := time.Now()
	replayed := uint64(0)
	r := c.start("cairo-a-1", func(assembled *controller) { replayed = assembled.disk.LogLength() - 1 })
	elapsed := time.Since(start)
	t.Logf("restart after %d changes: %v until the document is served", changes, elapsed)
	assert.Equal(t, r.node.enforcedVersion(), uint64(1+changes))
	assert.Assert(t, elapsed < maxElapsed)
	assert.Assert(t, replayed < maxEntries, "%d entries are replayed", replayed)
	outcome, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted(), "the outcome of the first change was lost")
}
