package main

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
	"sequoiaspread.example/sequoia/replicator"
)

// recordCluster books with the record group of cairo-a in a cluster of controllers.
type recordCluster struct {
	*cluster
	client *recordserver.Client
}

func newRecordCluster(t *testing.T) *recordCluster {
	c := &recordCluster{cluster: newCluster(t, 6)}
	pool := messenger.NewPool(messenger.PoolConfig{Logger: testLogger()})
	t.Cleanup(func() { assert.NilError(t, pool.Close()) })
	c.client = recordserver.NewClient(pool).WithSelector(func(string) (netip.AddrPort, bool) { return c.primary(), true })
	c.startAll()
	return c
}

// view is the highest view that a running controller knows.
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
	vm := replicator.MemberID(c.view().Primary).VM()
	return c.settings[vm].ControllerAddress
}

func (c *recordCluster) book(key string) recorder.Reply {
	c.t.Helper()
	var reply recorder.Reply
	begin := recorder.Begin{Zone: recordsZone, Organisation: "kiosks-cairo", Key: key, Digest: "d", Service: "kiosk-core", Attempt: uuid.NewString()}
	c.eventually("a decision on "+key, func() bool {
		var err error
		reply, err = c.client.Begin(context.Background(), c.primary(), begin)
		return err == nil && reply.Outcome != recorder.OutcomeNotPrimary && reply.Outcome != recorder.OutcomeUnavailable
	})
	return reply
}

func (c *recordCluster) wipe(vm string) {
	assert.NilError(c.t, os.RemoveAll(c.settings[vm].DataFolder))
	c.start(vm)
}

// memberOf waits until the VM has a member in the view other than the former one.
func (c *recordCluster) memberOf(vm, former string) {
	c.t.Helper()
	c.eventually(vm+" in the record view", func() bool {
		return slices.ContainsFunc(c.view().Members, func(member string) bool {
			return replicator.MemberID(member).VM() == vm && member != former
		})
	})
}

// Guards against bookings that are lost or run again when the views come from the real agreement: a planned stop, a
// lost disk, and the loss of both disks of an availability zone.
func testRecordsInCluster(t *testing.T) {
	c := newRecordCluster(t)
	permit := c.book("key").Permit
	reply, err := c.client.Finish(context.Background(), c.primary(), permit.Finish(recorder.ResultAnswered, recorder.Answer{Status: 201}))
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, recorder.OutcomeDone)
	c.stop("cairo-a-1")
	assert.Equal(t, c.book("key").Outcome, recorder.OutcomeReplay)
	c.wipe("cairo-a-1")
	c.memberOf("cairo-a-1", "cairo-a-1#1")
	assert.Equal(t, c.book("key").Outcome, recorder.OutcomeReplay)

	c.stop("cairo-a-2")
	c.stop("cairo-a-1")
	lost := c.view()
	c.wipe("cairo-a-1")
	c.wipe("cairo-a-2")
	c.eventually("a new epoch", func() bool { return c.view().Epoch == lost.Epoch+1 })
	assert.Equal(t, c.book("key").Outcome, recorder.OutcomeUnknown)
	session, err := c.client.Session(context.Background(), c.primary(), recorder.Session{Zone: recordsZone, Organisation: "kiosks-cairo"})
	assert.NilError(t, err)
	assert.Equal(t, session.Outcome, recorder.OutcomeOpened)
	assert.Equal(t, c.book(session.Session+".1").Outcome, recorder.OutcomeGranted)
}
