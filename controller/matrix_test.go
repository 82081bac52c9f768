package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

func TestMatrixConsensus(t *testing.T) {
	// These two measure elapsed times, so they do not run in parallel with others.
	t.Run("configuration/snapshot/restart-after-1000-changes", testRestartAfterChanges)
	t.Run("configuration/poll/one-percent-loss", testPollersWithLoss)
	for name, test := range map[string]func(*testing.T){
		"configuration/promote/operators-race-over-http":         testOperatorsRace,
		"configuration/store/failed-fsync":                       func(t *testing.T) { testStoreFault(t, syscall.EIO) },
		"configuration/store/disk-full":                          func(t *testing.T) { testStoreFault(t, syscall.ENOSPC) },
		"configuration/store/torn-record":                        testTornRecord,
		"configuration/replace/disk-lost":                        testDiskLost,
		"configuration/replace/document-changes-controllers":     testDocumentChangesControllers,
		"configuration/enforce/controller-restarts-alone":        testRestartAlone,
		"configuration/enforce/diskless-restart-in-cut-off-zone": testDisklessRestart,
		"at-most-once/new-epoch/member-still-in-agreement":       testEpochNeedsRetiredMembers,
		"planned-stop/controller/requests-in-progress":           testRequestsInProgress,
		"planned-stop/controller/leader-stops":                   testLeaderStops,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

// Guards against requests accepted without the operator key, two documents under one version, a resend that takes
// effect twice, and a follower that cannot promote.
func testOperatorsRace(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	follower := c.otherVoter(leader)
	status, _ := c.request(follower, http.MethodGet, "/v1/status", testKey+"x", nil)
	assert.Equal(t, status, http.StatusUnauthorized)
	body := promotionBody{Version: 2, Document: c.documentVersion(2, "ann"), Operator: "ann", RequestID: "r-1"}
	status, problem := c.request(follower, http.MethodPost, "/v1/promotions", testKey, body)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, problem["type"], "urn:sequoiaspread:problem:no-trial")
	status, _ = c.request(leader, http.MethodPost, "/v1/trials", testKey, trialBody{Document: body.Document, Operator: "ann", RequestID: "t-1"})
	assert.Equal(t, status, http.StatusOK)
	body.RequestID = "r-2"
	for range 2 {
		status, reply := c.request(follower, http.MethodPost, "/v1/promotions", testKey, body)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, reply["result"], "accepted")
	}
	body = promotionBody{Version: 2, Document: c.documentVersion(2, "bob"), Operator: "bob", RequestID: "r-3", WithoutTrial: true}
	status, problem = c.request(leader, http.MethodPost, "/v1/promotions", testKey, body)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, problem["winner"].(map[string]any)["operator"], "ann")
	status, problem = c.request(leader, http.MethodPost, "/v1/promotions", testKey, promotionBody{Version: 3, Document: "x = 1", Operator: "bob", RequestID: "r-4"})
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Assert(t, len(problem["faults"].([]any)) > 0)
}

// faultyStore fails writes once a failure is set.
type faultyStore struct {
	*storer.Store
	failure atomic.Pointer[error]
}

// Write returns the failure if one is set.
func (s *faultyStore) Write(ops ...storer.Op) error {
	if failure := s.failure.Load(); failure != nil {
		return *failure
	}
	return s.Store.Write(ops...)
}

// testStoreFault guards against acknowledging a change that is not durable, and against a controller that keeps running
// after a failed write.
func testStoreFault(t *testing.T, failure error) {
	c := newCluster(t, 1)
	settings := c.settings["cairo-a-1"]
	assert.NilError(t, initialise(context.Background(), settings, filepath.Join(c.folder, "document.toml")))
	failing := &faultyStore{}
	r := c.start("cairo-a-1", func(assembled *controller) {
		failing.Store = assembled.disk.Store.(*storer.Store)
		assembled.disk.Store = failing
	})
	_, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	failing.failure.Store(&failure)
	_, err = c.promote(r, 3, "ann")
	assert.Assert(t, err != nil, "a change was acknowledged without a durable write")
	runErr := <-r.done
	delete(c.running, "cairo-a-1")
	assert.ErrorIs(t, runErr, failure)
	assert.Equal(t, r.node.enforcedVersion(), uint64(2))
	c.start("cairo-a-1")
	outcome, err := c.promote(c.leader(), 3, "bob")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted())
}

// Guards against a crash during a write that makes the file unreadable or loses acknowledged changes: some pages of the
// last transaction are on the disk, others are garbage, and the page that commits it is missing.
func testTornRecord(t *testing.T) {
	const commitPages = 2
	c := newCluster(t, 1)
	folder := c.settings["cairo-a-1"].DataFolder
	c.startAll()
	_, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	c.stop("cairo-a-1")
	before, err := os.ReadFile(filepath.Join(folder, storeFile))
	assert.NilError(t, err)
	store, err := openStore(folder)
	assert.NilError(t, err)
	entry := storer.Op{Bucket: "log", Key: binary.BigEndian.AppendUint64(nil, 1<<20), Value: []byte(c.document)}
	assert.NilError(t, store.Write(entry, agreer.MemberValueOp([]byte("state"), []byte("{}"))))
	assert.NilError(t, store.Close())
	torn, err := os.ReadFile(filepath.Join(folder, storeFile))
	assert.NilError(t, err)
	page := os.Getpagesize()
	copy(torn, before[:commitPages*page])
	changed := 0
	for start := commitPages * page; start < len(torn); start += page {
		if start < len(before) && bytes.Equal(torn[start:start+page], before[start:start+page]) {
			continue
		}
		if changed++; changed%2 == 0 {
			copy(torn[start:start+page], bytes.Repeat([]byte{0xff}, page))
		}
	}
	assert.Assert(t, changed > 2, "the write changed %d pages", changed)
	assert.NilError(t, os.WriteFile(filepath.Join(folder, storeFile), torn, 0o600))
	c.start("cairo-a-1")
	assert.Equal(t, c.leader().node.enforcedVersion(), uint64(2))
	outcome, err := c.promote(c.leader(), 3, "bob")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted())
}

// Guards against a voter that votes under its old id after its data folder was lost, and against one that does not
// rejoin automatically.
func testDiskLost(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	_, err := c.promote(leader, 2, "ann")
	assert.NilError(t, err)
	lostVoter := c.otherVoter(leader)
	vm, lostID := lostVoter.settings.VM, lostVoter.node.id
	c.stop(vm)
	assert.NilError(t, os.RemoveAll(lostVoter.settings.DataFolder))
	successor := c.start(vm)
	assert.Assert(t, successor.node.id != lostID)
	c.eventually("the successor to become a voter", func() bool {
		membership := c.leader().node.consensus.Status().Membership
		return membership.IsVoter(successor.node.id) && !membership.IsJoint() && membership.IsRetired(lostID)
	})
	c.eventually("the successor to become ready", func() bool { return successor.node.ready() && successor.node.enforcedVersion() == 2 })
	assert.Equal(t, len(c.leader().node.consensus.Status().Membership.Voters), 5)
}

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

// Guards against a membership that does not follow the controllers and voters of the document automatically.
func testDocumentChangesControllers(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	removed := c.otherVoter(leader).settings
	c.stop(removed.VM)
	address := fmt.Sprintf("controller-address = %q\n", removed.ControllerAddress)
	c.document = strings.Replace(c.document, address+"voter = true\n", "", 1)
	address = fmt.Sprintf("controller-address = %q\n", c.settings["aswan-a-2"].ControllerAddress)
	c.document = strings.Replace(c.document, address, address+"voter = true\n", 1)
	_, err := c.promote(leader, 2, "ann")
	assert.NilError(t, err)
	c.eventually("the membership to match the document", func() bool {
		membership := c.leader().node.consensus.Status().Membership
		return membership.IsVoter("aswan-a-2#1") && membership.IsRetired(initialMemberID(removed.VM)) && !membership.IsJoint()
	})
	assert.Equal(t, len(c.leader().node.consensus.Status().Membership.Voters), 5)
}

// Guards against starting a new epoch, which makes earlier keys unknown, while a member may still hold their records.
func testEpochNeedsRetiredMembers(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	_, err := c.leader().node.Propose(context.Background(), promoter.Command{StartEpoch: &promoter.StartEpoch{
		Zone: "cairo-a", PreviousEpoch: 1, PreviousView: 1, Lost: []string{"cairo-a-1#1"}, Primary: "cairo-a-1#2", Members: []string{"cairo-a-1#2"},
	}})
	var controllerErr *controllerError
	assert.Assert(t, errors.As(err, &controllerErr) && controllerErr.kind == kindRefused, "got %v", err)
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
