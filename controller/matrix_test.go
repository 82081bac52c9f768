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

func TestMatrixAgreement(t *testing.T) {
	// These two measure times, so nothing runs beside them.
	t.Run("configuration/snapshot/restart-after-1000-changes", testRestartAfterChanges)
	t.Run("configuration/poll/one-percent-loss", testPollersWithLoss)
	for name, test := range map[string]func(*testing.T){
		"configuration/promote/operators-race-over-http":         testOperators,
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

// Guards against an interface without its key, a second document under one version, a resend that runs again, and a
// follower that cannot promote.
func testOperators(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	follower := c.other(leader)
	status, _ := c.ask(follower, http.MethodGet, "/v1/status", testKey+"x", nil)
	assert.Equal(t, status, http.StatusUnauthorized)
	body := promotionBody{Version: 2, Document: c.version(2, "ann"), Operator: "ann", RequestID: "r-1"}
	status, problem := c.ask(follower, http.MethodPost, "/v1/promotions", testKey, body)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, problem["type"], "urn:sequoiaspread:problem:no-trial")
	status, _ = c.ask(leader, http.MethodPost, "/v1/trials", testKey, trialBody{Document: body.Document, Operator: "ann", RequestID: "t-1"})
	assert.Equal(t, status, http.StatusOK)
	body.RequestID = "r-2"
	for range 2 {
		status, reply := c.ask(follower, http.MethodPost, "/v1/promotions", testKey, body)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, reply["result"], "accepted")
	}
	body = promotionBody{Version: 2, Document: c.version(2, "bob"), Operator: "bob", RequestID: "r-3", WithoutTrial: true}
	status, problem = c.ask(leader, http.MethodPost, "/v1/promotions", testKey, body)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, problem["winner"].(map[string]any)["operator"], "ann")
	status, problem = c.ask(leader, http.MethodPost, "/v1/promotions", testKey, promotionBody{Version: 3, Document: "x = 1", Operator: "bob", RequestID: "r-4"})
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Assert(t, len(problem["faults"].([]any)) > 0)
}

// faultyStore refuses writes once a failure is set.
type faultyStore struct {
	*storer.Store
	failure atomic.Pointer[error]
}

// Write fails when a failure is set.
func (s *faultyStore) Write(ops ...storer.Op) error {
	if failure := s.failure.Load(); failure != nil {
		return *failure
	}
	return s.Store.Write(ops...)
}

// testStoreFault guards against a reply for a change that is not on the disk, and against a controller that goes on.
func testStoreFault(t *testing.T, failure error) {
	c := newCluster(t, 1)
	settings := c.settings["cairo-a-1"]
	assert.NilError(t, initialise(context.Background(), settings, filepath.Join(c.folder, "document.toml")))
	broken := &faultyStore{}
	r := c.start("cairo-a-1", func(made *controller) {
		broken.Store = made.disk.Store.(*storer.Store)
		made.disk.Store = broken
	})
	_, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	broken.failure.Store(&failure)
	_, err = c.promote(r, 3, "ann")
	assert.Assert(t, err != nil, "a change was acknowledged without a durable write")
	stopped := <-r.done
	delete(c.running, "cairo-a-1")
	assert.ErrorIs(t, stopped, failure)
	assert.Equal(t, r.node.enforcedVersion(), uint64(2))
	c.start("cairo-a-1")
	outcome, err := c.promote(c.leader(), 3, "bob")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted())
}

// Guards against a crash in the middle of a write making the file unreadable or losing acknowledged changes: some pages
// of the last transaction are on the disk, others are garbage, and the page that commits it is missing.
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
	opened, err := openStore(folder)
	assert.NilError(t, err)
	entry := storer.Op{Bucket: "log", Key: binary.BigEndian.AppendUint64(nil, 1<<20), Value: []byte(c.document)}
	assert.NilError(t, opened.Write(entry, agreer.MemberValueOp([]byte("state"), []byte("{}"))))
	assert.NilError(t, opened.Close())
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

// Guards against a voter with an empty data folder voting under its old id, and against it not coming back by itself.
func testDiskLost(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	_, err := c.promote(leader, 2, "ann")
	assert.NilError(t, err)
	victim := c.other(leader)
	vm, lost := victim.settings.VM, victim.node.id
	c.stop(vm)
	assert.NilError(t, os.RemoveAll(victim.settings.DataFolder))
	successor := c.start(vm)
	assert.Assert(t, successor.node.id != lost)
	c.eventually("the successor votes", func() bool {
		membership := c.leader().node.agreement.Status().Membership
		return membership.IsVoter(successor.node.id) && !membership.IsJoint() && membership.IsRetired(lost)
	})
	c.eventually("the successor serves", func() bool { return successor.node.ready() && successor.node.enforcedVersion() == 2 })
	assert.Equal(t, len(c.leader().node.agreement.Status().Membership.Voters), 5)
}

// Guards against a controller serving a lower version after a restart without any other controller.
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

// Guards against a process without a disk coming back with a lower version while its availability zone is cut off:
// one controller of the zone is behind, a peer is ahead of both.
func testDisklessRestart(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	_, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	for _, r := range c.running {
		c.eventually("version 2", func() bool { return r.node.enforcedVersion() == 2 })
	}
	c.stopAll()
	behind := c.start("aswan-a-1")
	c.start("aswan-a-2")
	pool := messenger.NewPool(messenger.PoolConfig{Logger: testLogger()})
	defer func() { assert.Check(t, pool.Close()) }()
	client := configserver.NewClient(pool, nil)
	e := enforcer.New(enforcer.Config{Sources: []string{"aswan-a-1", "peer", "aswan-a-2"}})
	ask := func(name string, address netip.AddrPort) {
		var update configserver.Update
		c.eventually("an answer of "+name, func() bool {
			var err error
			update, err = client.FetchFrom(context.Background(), address, configserver.Poll{VM: "aswan-a-3", Zone: "aswan-a", Have: e.Current().Version})
			return err == nil
		})
		if update.Newer {
			_, err := e.Offer(enforcer.Document{Version: update.Version, Text: update.Text})
			assert.NilError(t, err)
		}
		e.RecordAnswer(name, true)
	}
	ask("aswan-a-1", behind.settings.ControllerAddress)
	assert.Assert(t, !e.Ready(), "ready before the peer was asked")
	_, err = e.Offer(enforcer.Document{Version: 3, Text: []byte("ahead")})
	assert.NilError(t, err)
	e.RecordAnswer("peer", true)
	ask("aswan-a-2", c.settings["aswan-a-2"].ControllerAddress)
	assert.Assert(t, e.Ready())
	text, version := behind.node.agreedDocument()
	_, err = e.Offer(enforcer.Document{Version: version, Text: text})
	assert.NilError(t, err)
	assert.Equal(t, e.Current().Version, uint64(3))
}

// Guards against a restart that replays hundreds of changes: it must end before the others elect a new leader.
func testRestartAfterChanges(t *testing.T) {
	// The log holds at most the 256 entries up to the next snapshot and the 64 kept below the last one.
	const changes, bound, entriesBound = 1000, 1500 * time.Millisecond, 256 + 64
	c := newCluster(t, 1)
	c.startAll()
	leader := c.leader()
	for version := uint64(2); version < 2+changes; version++ {
		outcome, err := c.promote(leader, version, "ann")
		assert.NilError(t, err)
		assert.Assert(t, outcome.Accepted())
	}
	c.stop("cairo-a-1")
	begin := time.Now()
	replayed := uint64(0)
	r := c.start("cairo-a-1", func(made *controller) { replayed = made.disk.LogLength() - 1 })
	took := time.Since(begin)
	t.Logf("restart after %d changes: %v until the document is served", changes, took)
	assert.Equal(t, r.node.enforcedVersion(), uint64(1+changes))
	assert.Assert(t, took < bound)
	assert.Assert(t, replayed < entriesBound, "%d entries are replayed", replayed)
	outcome, err := c.promote(c.leader(), 2, "ann")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted(), "the outcome of the first change was lost")
}

// lossyHandler lets a share of the calls go unanswered, as when a message is lost and its connection hangs.
type lossyHandler struct {
	messenger.Handler
	mu     sync.Mutex
	random *rand.Rand
}

// Handle answers 99 of 100 calls.
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

// Guards against a change that takes more than 3 s from its acceptance to the last of 80 processes, with one call in
// a hundred lost between controllers and from processes to controllers.
func testPollersWithLoss(t *testing.T) {
	const processes, rounds, interval, bound = 80, 5, 500 * time.Millisecond, 3 * time.Second
	c := newCluster(t, 6)
	for vm, settings := range c.settings {
		assert.NilError(t, initialise(context.Background(), settings, filepath.Join(c.folder, "document.toml")))
		c.start(vm, func(made *controller) {
			made.handler = &lossyHandler{Handler: made.handler, random: rand.New(rand.NewPCG(1, uint64(len(c.running))))}
		})
	}
	c.leader()
	ctx, cancel := context.WithCancel(context.Background())
	versions := make([]atomic.Uint64, processes)
	var work sync.WaitGroup
	for i := range processes {
		work.Go(func() { c.pollFor(ctx, i, interval, &versions[i]) })
	}
	defer func() {
		cancel()
		work.Wait()
	}()
	for version := uint64(2); version < 2+rounds; version++ {
		outcome, err := c.promote(c.leader(), version, "ann")
		assert.NilError(t, err)
		assert.Assert(t, outcome.Accepted())
		begin := time.Now()
		c.eventually("all processes", func() bool {
			for i := range versions {
				if versions[i].Load() < version {
					return false
				}
			}
			return true
		})
		took := time.Since(begin)
		t.Logf("version %d in force at the last of %d processes after %v", version, processes, took)
		assert.Assert(t, took < bound)
	}
}

// pollFor is one process without a disk: it polls the two controllers of an availability zone.
func (c *cluster) pollFor(ctx context.Context, index int, interval time.Duration, version *atomic.Uint64) {
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

// Guards against a planned stop of the leader delaying promotions by an election timeout.
func testLeaderStops(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	old := c.leader()
	follower := c.other(old)
	term := old.node.agreement.Status().Term
	old.cancel()
	c.eventually("another leader", func() bool {
		status := follower.node.agreement.Status()
		return status.Term > term && status.Leader != "" && status.Leader != old.node.id
	})
	assert.Equal(t, follower.node.agreement.Status().Term, term+1, "the hand-over needed more than one election")
	outcome, err := c.promote(follower, 2, "ann")
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted())
	assert.NilError(t, <-old.done)
	delete(c.running, old.settings.VM)
	assert.Assert(t, old.node.agreement.Status().Role != replicator.RoleLeader)
}

// Guards against controllers that the document adds or removes being changed by hand, or not at all.
func testDocumentChangesControllers(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	removed := c.other(leader).settings
	c.stop(removed.VM)
	address := fmt.Sprintf("controller-address = %q\n", removed.ControllerAddress)
	c.document = strings.Replace(c.document, address+"voter = true\n", "", 1)
	address = fmt.Sprintf("controller-address = %q\n", c.settings["aswan-a-2"].ControllerAddress)
	c.document = strings.Replace(c.document, address, address+"voter = true\n", 1)
	_, err := c.promote(leader, 2, "ann")
	assert.NilError(t, err)
	c.eventually("the document's voters", func() bool {
		membership := c.leader().node.agreement.Status().Membership
		return membership.IsVoter("aswan-a-2#1") && membership.IsRetired(initialMember(removed.VM)) && !membership.IsJoint()
	})
	assert.Equal(t, len(c.leader().node.agreement.Status().Membership.Voters), 5)
}

// Guards against a new epoch, which makes earlier keys unknown, while a member may still hold their records.
func testEpochNeedsRetiredMembers(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	_, err := c.leader().node.Propose(context.Background(), promoter.Command{StartEpoch: &promoter.StartEpoch{
		Zone: "cairo-a", PreviousEpoch: 1, PreviousView: 1, Lost: []string{"cairo-a-1#1"}, Primary: "cairo-a-1#2", Members: []string{"cairo-a-1#2"},
	}})
	var failure *controllerError
	assert.Assert(t, errors.As(err, &failure) && failure.kind == kindRefused, "got %v", err)
}

// gatedStore holds writes while its gate is closed.
type gatedStore struct {
	*storer.Store
	gate    sync.RWMutex
	waiting atomic.Bool
}

// Write waits for the gate.
func (s *gatedStore) Write(ops ...storer.Op) error {
	s.waiting.Store(true)
	s.gate.RLock()
	defer s.gate.RUnlock()
	s.waiting.Store(false)
	return s.Store.Write(ops...)
}

// Guards against a planned stop leaving requests that were taken without an answer: the agreement must go on until
// the last of them is answered, here with a disk that is slow while the process stops.
func testRequestsInProgress(t *testing.T) {
	const clients = 8
	c := newCluster(t, 1)
	assert.NilError(t, initialise(context.Background(), c.settings["cairo-a-1"], filepath.Join(c.folder, "document.toml")))
	slow := &gatedStore{}
	r := c.start("cairo-a-1", func(made *controller) {
		slow.Store = made.disk.Store.(*storer.Store)
		made.disk.Store = slow
	})
	c.leader()
	slow.gate.Lock()
	var answered atomic.Int64
	var work sync.WaitGroup
	send := func(i int) {
		body := trialBody{Document: c.document, Operator: "ann", RequestID: fmt.Sprint("t-", i)}
		status, err := c.try(r, http.MethodPost, "/v1/trials", body)
		if assert.Check(t, err) && assert.Check(t, status == http.StatusOK, "status %d", status) {
			answered.Add(1)
		}
	}
	work.Go(func() { send(0) })
	c.eventually("a waiting write", slow.waiting.Load)
	for i := 1; i < clients; i++ {
		work.Go(func() { send(i) })
	}
	c.eventually("queued requests", func() bool { return r.node.agreement.QueueLength() >= clients-1 })
	r.cancel()
	c.eventually("no new connections", func() bool {
		_, err := c.try(r, http.MethodGet, "/v1/status", nil)
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	slow.gate.Unlock()
	work.Wait()
	assert.NilError(t, <-r.done)
	delete(c.running, "cairo-a-1")
	assert.Equal(t, answered.Load(), int64(clients))
}
