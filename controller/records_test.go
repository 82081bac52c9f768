package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
	"sequoiaspread.example/sequoia/storer"
)

const recordsZone = "cairo-a"

// fakeAgreement is the agreed state, shared by all members of a test.
type fakeAgreement struct {
	mu        sync.Mutex
	state     *promoter.Promoter
	changed   chan struct{}
	addresses map[string]netip.AddrPort
	retired   []string
}

func newFakeAgreement(members ...string) *fakeAgreement {
	view := promoter.View{Zone: recordsZone, Epoch: 1, Number: 1, Primary: members[0], Members: members}
	genesis := promoter.Genesis{Text: []byte("x"), Version: 1, Digest: "x", Views: []promoter.View{view}}
	return &fakeAgreement{
		state: promoter.New(promoter.Config{}, genesis), changed: make(chan struct{}), addresses: map[string]netip.AddrPort{},
	}
}

func (a *fakeAgreement) view() promoter.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	view, _ := a.state.View(recordsZone)
	return view
}

func (a *fakeAgreement) retire(member string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retired = append(a.retired, member)
}

// fakeHost is the agreement as one member sees it.
type fakeHost struct {
	*fakeAgreement
	member string
}

func (h fakeHost) MemberID() string { return h.member }

func (h fakeHost) Propose(_ context.Context, command promoter.Command) (promoter.Outcome, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := h.state.Apply(command)
	close(h.changed)
	h.changed = make(chan struct{})
	return outcome, nil
}

func (h fakeHost) Read(visit func(state *promoter.Promoter)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	visit(h.state)
}

func (h fakeHost) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h fakeHost) AddressOf(member string) (netip.AddrPort, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	address, ok := h.addresses[member]
	return address, ok
}

func (h fakeHost) Retired(members []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(m string) bool { return !slices.Contains(h.retired, m) })
}

// failingStore fails all writes after fail is closed; the process must stop.
type failingStore struct {
	recordStore
	fail chan struct{}
}

func (s failingStore) Write(ops ...storer.Op) error {
	select {
	case <-s.fail:
		return errors.New("no space left on device")
	default:
		return s.recordStore.Write(ops...)
	}
}

// runningMember is one member with its own server, disk and connections.
type runningMember struct {
	address netip.AddrPort
	fail    chan struct{}
	leave   func()
	stop    func() error
}

func startMember(t testing.TB, agreement *fakeAgreement, member, folder string) *runningMember {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pool := messenger.NewPool(messenger.PoolConfig{Logger: logger})
	running := &runningMember{fail: make(chan struct{})}
	work := newRecords(recordsConfig{
		Host: fakeHost{agreement, member}, Zone: recordsZone, Pool: pool, Logger: logger,
		Open: func() (recordStore, error) {
			opened, err := openRecords(folder)
			return failingStore{opened, running.fail}, err
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	running.address = netip.MustParseAddrPort(listener.Addr().String())
	agreement.mu.Lock()
	agreement.addresses[member] = running.address
	agreement.mu.Unlock()
	server := messenger.NewServer(messenger.ServerConfig{Handler: recordserver.NewHandler(work), Logger: logger})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	served := make(chan error, 1)
	go func() {
		ended <- work.run(ctx)
		cancel()
	}()
	go func() { served <- server.Serve(ctx, listener) }()
	running.leave = func() { work.leave(ctx) }
	running.stop = sync.OnceValue(func() error {
		cancel()
		return errors.Join(<-served, <-ended, pool.Close())
	})
	t.Cleanup(func() { _ = running.stop() })
	return running
}

type caller struct {
	t         testing.TB
	agreement *fakeAgreement
	client    *recordserver.Client
	attempts  int
}

func newCaller(t testing.TB, agreement *fakeAgreement) *caller {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pool := messenger.NewPool(messenger.PoolConfig{Logger: logger})
	t.Cleanup(func() { assert.NilError(t, pool.Close()) })
	c := &caller{t: t, agreement: agreement}
	c.client = recordserver.NewClient(pool).WithSelector(func(string) (netip.AddrPort, bool) { return c.primary(), true })
	return c
}

func (c *caller) primary() netip.AddrPort {
	c.agreement.mu.Lock()
	defer c.agreement.mu.Unlock()
	view, _ := c.agreement.state.View(recordsZone)
	return c.agreement.addresses[view.Primary]
}

func (c *caller) begin(key string) (recorder.Reply, error) {
	c.attempts++
	return c.client.Begin(context.Background(), c.primary(), recorder.Begin{
		Zone: recordsZone, Organisation: "kiosks-cairo", Key: key, Digest: "d", Service: "kiosk-core", Attempt: fmt.Sprint(c.attempts),
	})
}

// eventually begins until the outcome is the wanted one.
func (c *caller) eventually(key string, want recorder.Outcome) recorder.Reply {
	c.t.Helper()
	var reply recorder.Reply
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		var err error
		reply, err = c.begin(key)
		if err == nil && reply.Outcome == want {
			return poll.Success()
		}
		return poll.Continue("%s: outcome %q, error %v", key, reply.Outcome, err)
	}, poll.WithTimeout(20*time.Second))
	return reply
}

func (c *caller) finish(permit recorder.Permit) {
	c.t.Helper()
	answer := recorder.Answer{Status: 201, Body: []byte("booked " + permit.Key)}
	reply, err := c.client.Finish(context.Background(), c.primary(), permit.Finish(recorder.ResultAnswered, answer))
	assert.NilError(c.t, err)
	assert.Equal(c.t, reply.Outcome, recorder.OutcomeDone)
}

// Guards against records that are lost or run again over real connections and disks, when the primary stops, comes
// back with an empty disk, and the member that took over stops right after the repair.
func TestMatrixRecords(t *testing.T) {
	t.Run("at-most-once/processes/second-vm-fails-after-repair", func(t *testing.T) {
		folder := t.TempDir()
		agreement := newFakeAgreement("a#1", "b#1")
		for _, member := range []string{"a", "b"} {
			assert.NilError(t, createRecords(filepath.Join(folder, member), member+"#1"))
		}
		a := startMember(t, agreement, "a#1", filepath.Join(folder, "a"))
		b := startMember(t, agreement, "b#1", filepath.Join(folder, "b"))
		c := newCaller(t, agreement)
		c.finish(c.eventually("done", recorder.OutcomeGranted).Permit)
		open := c.eventually("open", recorder.OutcomeGranted).Permit
		assert.NilError(t, a.stop())
		assert.Equal(t, string(c.eventually("done", recorder.OutcomeReplay).Answer.Body), "booked done")
		c.eventually("open", recorder.OutcomePending)
		agreement.retire("a#1")
		startMember(t, agreement, "a#2", filepath.Join(folder, "a-empty"))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if slices.Contains(agreement.view().Members, "a#2") {
				return poll.Success()
			}
			return poll.Continue("view %v", agreement.view().Members)
		}, poll.WithTimeout(20*time.Second))
		assert.NilError(t, b.stop())
		c.eventually("done", recorder.OutcomeReplay)
		c.eventually("open", recorder.OutcomePending)
		c.finish(open)
		c.eventually("open", recorder.OutcomeReplay)
		c.eventually("new", recorder.OutcomeGranted)
	})
	t.Run("planned-stop/controller/restart-of-the-primary", func(t *testing.T) {
		folder := t.TempDir()
		agreement := newFakeAgreement("a#1", "b#1")
		for _, member := range []string{"a", "b"} {
			assert.NilError(t, createRecords(filepath.Join(folder, member), member+"#1"))
		}
		a := startMember(t, agreement, "a#1", filepath.Join(folder, "a"))
		startMember(t, agreement, "b#1", filepath.Join(folder, "b"))
		c := newCaller(t, agreement)
		open := c.eventually("open", recorder.OutcomeGranted).Permit
		a.leave()
		assert.DeepEqual(t, agreement.view().Members, []string{"b#1"})
		assert.NilError(t, a.stop())
		reply, err := c.begin("new")
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, recorder.OutcomeGranted)
		c.finish(open)
	})
	t.Run("at-most-once/processes/disk-full", func(t *testing.T) {
		folder := t.TempDir()
		agreement := newFakeAgreement("a#1")
		assert.NilError(t, createRecords(folder, "a#1"))
		a := startMember(t, agreement, "a#1", folder)
		c := newCaller(t, agreement)
		c.eventually("first", recorder.OutcomeGranted)
		close(a.fail)
		_, err := c.begin("second")
		assert.ErrorContains(t, err, "record.begin")
		assert.ErrorContains(t, a.stop(), "no space left")
		startMember(t, agreement, "a#1", folder)
		c.eventually("first", recorder.OutcomePending)
		c.eventually("second", recorder.OutcomeGranted)
	})
	t.Run("at-most-once/processes/records-file-deleted", func(t *testing.T) {
		agreement := newFakeAgreement("a#1")
		startMember(t, agreement, "a#1", t.TempDir())
		c := newCaller(t, agreement)
		reply, err := c.begin("key")
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, recorder.OutcomeNotPrimary)
	})
}

// Guards against a member that starts on the records of another one.
func TestRecordsOfAnotherMember(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, createRecords(folder, "a#1"))
	assert.NilError(t, createRecords(folder, "a#1"))
	assert.ErrorContains(t, createRecords(folder, "a#2"), "belong to member a#1")
	other := startMember(t, newFakeAgreement("a#2"), "a#2", folder)
	assert.ErrorContains(t, other.stop(), "belong to member a#1")
}
