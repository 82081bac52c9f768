package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

// Guards against a graceful drain of the leader that delays promotions by an election timeout.
func testLeaderStops(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	oldLeader := c.leader()
	follower := c.otherVoter(oldLeader)
	term := oldLeader.node.consensus.Status().Term
	oldLeader.cancel()
	c.eventually("another leader", func() bool {
		status := follower.node.consensus.Status()
		return status.Term > term && status.Leader != "" && status.Leader != oldLeader.node.id
	})
	assert.Equal(t, follower.node.consensus.Status().Term, term+1, "the leadership transfer needed more than one election")
	outcome, err := c.promote(follower, 2, "ann")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted())
	assert.NilError(t, <-oldLeader.done)
	delete(c.running, oldLeader.settings.VM)
	assert.Assert(t, oldLeader.node.consensus.Status().Role != replicator.RoleLeader)
}

// gatedStore blocks writes while its gate is locked.
type gatedStore struct {
	*storer.Store
	gate    sync.RWMutex
	waiting atomic.Bool
}

// Write waits until the gate is unlocked.
func (s *gatedStore) Write(ops ...storer.Op) error {
	s.waiting.Store(true)
	s.gate.RLock()
	defer s.gate.RUnlock()
	s.waiting.Store(false)
	return s.Store.Write(ops...)
}

// Guards against a graceful drain that leaves accepted requests without a response: the consensus member must run until
// the last of them has one, here with a disk that is slow during the drain.
func testRequestsInProgress(t *testing.T) {
	const clients = 8
	c := newCluster(t, 1)
	assert.NilError(t, initialise(context.Background(), c.settings["cairo-a-1"], filepath.Join(c.folder, "document.toml")))
	slow := &gatedStore{}
	r := c.start("cairo-a-1", func(assembled *controller) {
		slow.Store = assembled.disk.Store.(*storer.Store)
		assembled.disk.Store = slow
	})
	c.leader()
	slow.gate.Lock()
	var responses atomic.Int64
	var work sync.WaitGroup
	send := func(i int) {
		body := trialBody{Document: c.document, Operator: "ann", RequestID: fmt.Sprint("t-", i)}
		status, err := c.tryRequest(r, http.MethodPost, "/v1/trials", body)
		if assert.Check(t, err) && assert.Check(t, status == http.StatusOK, "status %d", status) {
			responses.Add(1)
		}
	}
	work.Go(func() { send(0) })
	c.eventually("a blocked write", slow.waiting.Load)
	for i := 1; i < clients; i++ {
		work.Go(func() { send(i) })
	}
	c.eventually("queued requests", func() bool { return r.node.consensus.QueueLength() >= clients-1 })
	r.cancel()
	c.eventually("connections to be refused", func() bool {
		_, err := c.tryRequest(r, http.MethodGet, "/v1/status", nil)
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	slow.gate.Unlock()
	work.Wait()
	assert.NilError(t, <-r.done)
	delete(c.running, "cairo-a-1")
	assert.Equal(t, responses.Load(), int64(clients))
}
