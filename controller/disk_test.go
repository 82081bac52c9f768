package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/storer"
)

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
