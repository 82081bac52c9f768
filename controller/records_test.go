package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

const recordsZone = "cairo-a"

var errDiskFull = errors.New("no space left on device")

// fullStore fails all writes while full is set.
type fullStore struct {
	recordStore
	full *atomic.Bool
}

func (s fullStore) Write(ops ...storer.Op) error {
	if s.full.Load() {
		return errDiskFull
	}
	return s.recordStore.Write(ops...)
}

// recordCluster is a cluster of controllers with a client of the record group of cairo-a.
type recordCluster struct {
	*cluster
	pool   *messenger.Pool
	client *recordserver.Client
}

func newRecordCluster(t testing.TB) *recordCluster {
	c := &recordCluster{cluster: newCluster(t, 6), pool: messenger.NewPool(messenger.PoolConfig{Logger: testLogger()})}
	t.Cleanup(func() { assert.NilError(t, c.pool.Close()) })
	c.client = recordserver.NewClient(c.pool).WithSelector(func(string) (netip.AddrPort, bool) { return c.primary(), true })
	c.startAll()
	return c
}

// view returns the highest view that any running controller knows.
func (c *recordCluster) view() promoter.View {
	var highest promoter.View
	for _, r := range c.running {
		r.node.Read(func(state *promoter.Promoter) {
			if view, ok := state.View(recordsZone); ok && view.Number > highest.Number {
				highest = view
			}
		})
	}
	return highest
}

func (c *recordCluster) primary() netip.AddrPort {
	return c.settings[replicator.MemberID(c.view().Primary).VM()].ControllerAddress
}

func newBegin(key string) recorder.Begin {
	return recorder.Begin{
		Zone: recordsZone, Organisation: "kiosks-cairo", Key: key, Digest: "d", Service: "kiosk-core", Attempt: uuid.NewString(),
	}
}

// book retries a begin call until the record group decides it.
func (c *recordCluster) book(key string) recorder.Reply {
	c.t.Helper()
	var reply recorder.Reply
	begin := newBegin(key)
	c.eventually("a decision on "+key, func() bool {
		var err error
		reply, err = c.client.Begin(context.Background(), c.primary(), begin)
		return err == nil && reply.Outcome != recorder.OutcomeNotPrimary && reply.Outcome != recorder.OutcomeUnavailable
	})
	return reply
}

func (c *recordCluster) finish(permit recorder.Permit) {
	c.t.Helper()
	reply, err := c.client.Finish(context.Background(), c.primary(), permit.Finish(recorder.ResultAnswered, recorder.Response{Status: 201}))
	assert.NilError(c.t, err)
	assert.Equal(c.t, reply.Outcome, recorder.OutcomeDone)
}

// startWithFullDisk restarts a controller; writes of its records fail once the returned flag is set.
func (c *recordCluster) startWithFullDisk(vm string) *atomic.Bool {
	c.t.Helper()
	full := &atomic.Bool{}
	c.stop(vm)
	c.start(vm, func(assembled *controller) {
		for _, ext := range assembled.extensions {
			if member, ok := ext.(*recordMember); ok {
				open := member.config.Open
				member.config.Open = func() (recordStore, error) {
					store, err := open()
					return fullStore{store, full}, err
				}
			}
		}
	})
	c.awaitMember(vm, "")
	return full
}

// startEmpty deletes the data folder of a controller and starts it.
func (c *recordCluster) startEmpty(vm string) {
	assert.NilError(c.t, os.RemoveAll(c.settings[vm].DataFolder))
	c.start(vm)
}

// awaitMember waits until the view contains a member of the VM other than the previous one.
func (c *recordCluster) awaitMember(vm, previous string) {
	c.t.Helper()
	c.eventually(vm+" in the record view", func() bool {
		return slices.ContainsFunc(c.view().Members, func(member string) bool {
			return replicator.MemberID(member).VM() == vm && member != previous
		})
	})
}

// Guards against bookings that are lost or executed twice, with real connections, disks and consensus.
func TestMatrixRecords(t *testing.T) {
	t.Run("at-most-once/repair/second-vm-fails-after-repair", func(t *testing.T) {
		t.Parallel()
		c := newRecordCluster(t)
		full := c.startWithFullDisk("cairo-a-2")
		c.finish(c.book("done").Permit)
		open := c.book("open").Permit
		c.stop("cairo-a-1")
		assert.Equal(t, c.book("done").Outcome, recorder.OutcomeReplay)
		c.startEmpty("cairo-a-1")
		c.awaitMember("cairo-a-1", "cairo-a-1#1")
		full.Store(true)
		_, err := c.client.Begin(context.Background(), c.primary(), newBegin("new"))
		assert.Assert(t, err != nil, "a permit was granted without a durable record")
		assert.ErrorIs(t, <-c.running["cairo-a-2"].done, errDiskFull)
		delete(c.running, "cairo-a-2")
		assert.Equal(t, c.book("done").Outcome, recorder.OutcomeReplay)
		assert.Equal(t, c.book("open").Outcome, recorder.OutcomePending)
		c.finish(open)
		assert.Equal(t, c.book("open").Outcome, recorder.OutcomeReplay)
		assert.Equal(t, c.book("new").Outcome, recorder.OutcomeGranted)
	})
	t.Run("at-most-once/resend/all-disks-lost", func(t *testing.T) {
		t.Parallel()
		c := newRecordCluster(t)
		c.finish(c.book("key").Permit)
		c.stop("cairo-a-2")
		c.stop("cairo-a-1")
		lostView := c.view()
		c.startEmpty("cairo-a-1")
		c.startEmpty("cairo-a-2")
		c.eventually("a new epoch", func() bool { return c.view().Epoch == lostView.Epoch+1 })
		assert.Equal(t, c.book("key").Outcome, recorder.OutcomeUnknown)
		session, err := c.client.Session(context.Background(), c.primary(), recorder.Session{Zone: recordsZone, Organisation: "kiosks-cairo"})
		assert.NilError(t, err)
		assert.Equal(t, c.book(session.Session+".1").Outcome, recorder.OutcomeGranted)
	})
}

// Guards against a member that starts with the records of another member or with an entry that it cannot read.
func TestRecordsFile(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, createRecordStore(folder, "a#1"))
	assert.NilError(t, createRecordStore(folder, "a#1"))
	assert.ErrorContains(t, createRecordStore(folder, "a#2"), "belong to member a#1")
	store, err := openRecordStore(folder)
	assert.NilError(t, err)
	disk := &recordsDisk{store: store}
	_, _, err = disk.load("a#2")
	assert.ErrorContains(t, err, "belong to member a#1")
	owner, _, err := disk.load("a#1")
	assert.NilError(t, err)
	assert.Assert(t, owner.Initial)
	assert.NilError(t, store.Write(storer.Op{Bucket: bucketRecords, Key: []byte("record"), Value: []byte(`{"id":"record"}`)}))
	_, _, err = disk.load("a#1")
	assert.ErrorContains(t, err, "not valid")
	assert.NilError(t, store.Close())
}
