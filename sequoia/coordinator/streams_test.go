package coordinator

import (
	"context"
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/pinner"
	"sequoiaspread.example/sequoia/storer"
)

// Guards against a coordinator that takes a version for the only one although another serves in another region, or
// although it has only just started.
func TestCoordinatorKnowsVersionsOfStreams(t *testing.T) {
	addresses := []dispatcher.Upstream{{ID: "u", Service: "s", Version: "v1"}}
	c := New(Config{})
	key := pinner.KeyOf("a")
	find := func() fleetserver.StreamVersion {
		return c.FindStream(fleetserver.StreamQuery{Service: "s", Key: key})
	}
	upstreamSink{c}.SetUpstreams(addresses, time.Now())
	assert.Equal(t, find(), fleetserver.StreamVersion{}, "it has just started")
	c.HandleHeartbeat(fleetserver.Heartbeat{Name: "near", Versions: map[string][]string{"s": {"v1"}}, SoleVersions: true})
	assert.Equal(t, find(), fleetserver.StreamVersion{Version: "v1", Sole: true})

	vm := fleetserver.EntryVM{Name: "far", Region: "other"}
	reply := c.HandleHeartbeat(fleetserver.Heartbeat{Name: "far", EntryVM: &vm, Versions: map[string][]string{"s": {"v2"}}})
	assert.Equal(t, len(reply.Versions["s"]), 2)
	assert.Equal(t, find(), fleetserver.StreamVersion{Mixed: true})
	c.AddStreams(fleetserver.NewStreams([]pinner.Record{{Key: key, Service: "s", Version: "v2"}}))
	assert.Equal(t, find(), fleetserver.StreamVersion{Version: "v2", Found: true})
}

// restartWithVersions lets a coordinator write its versions, and returns one that starts with what the disk holds then.
func restartWithVersions(t *testing.T, before *Coordinator, store *storer.Store) *Coordinator {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*versionsInterval)
	defer cancel()
	before.keepVersions(ctx, store)
	after := New(Config{Logger: before.logger})
	_, err := after.loadVersions(store)
	assert.NilError(t, err)
	return after
}

// Guards against callers that have to begin their streams anew after all processes restarted, although a single version
// served, and against a version that is taken for the only one because another was forgotten.
func TestCoordinatorRemembersVersionsOverRestart(t *testing.T) {
	for name, test := range map[string]struct {
		served []string
		// lostDisk is set if the process had lost its disk shortly before, and so what served until then.
		lostDisk bool
		after    fleetserver.StreamVersion
	}{
		"none":                        {nil, false, fleetserver.StreamVersion{}},
		"one version":                 {[]string{"v1"}, false, fleetserver.StreamVersion{Version: "v1", Sole: true}},
		"one version, disk was lost":  {[]string{"v1"}, true, fleetserver.StreamVersion{}},
		"two versions":                {[]string{"v1", "v2"}, false, fleetserver.StreamVersion{Mixed: true}},
		"two versions, disk was lost": {[]string{"v1", "v2"}, true, fleetserver.StreamVersion{Mixed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			store, err := storer.Open(storer.Config{Path: filepath.Join(t.TempDir(), "store")})
			assert.NilError(t, err)
			defer func() { assert.NilError(t, store.Close()) }()
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			before := New(Config{Logger: logger})
			if !test.lostDisk {
				before.pins.WatchedSince(time.Time{})
			}
			before.seeVersions(time.Now(), map[string][]string{"s": test.served})
			after := restartWithVersions(t, before, store)
			assert.Equal(t, after.FindStream(fleetserver.StreamQuery{Service: "s"}), test.after)
		})
	}
}

// Guards against an upstream that is taken for leaving for a shorter time than it has been.
func TestCoordinatorKnowsSinceWhenUpstreamsLeave(t *testing.T) {
	c := New(Config{})
	read := func(at time.Time, leaving ...bool) {
		var list []dispatcher.Upstream
		for i, each := range leaving {
			list = append(list, dispatcher.Upstream{ID: string(rune('a' + i)), Service: "s", Leaving: each})
		}
		upstreamSink{c}.SetUpstreams(list, at)
	}
	now := time.Now()
	read(now.Add(-2*time.Second), false, true)
	read(now.Add(-time.Second), true, true)
	read(now, true, true)
	assert.DeepEqual(t, c.upstreams.listFor(now, 0).LeavingFor, map[string]time.Duration{"a": 2 * time.Second})
	read(now, false, true)
	assert.Equal(t, len(c.upstreams.listFor(now, 0).LeavingFor), 0)
}

// Guards against a version that may begin streams before the disks of the coordinators hold it for as long as VMs rely on
// a confirmation without it.
func TestVersionIsPendingUntilItIsKept(t *testing.T) {
	c := New(Config{})
	vm := fleetserver.EntryVM{Name: "a", Region: "r"}
	versions := map[string][]string{"s": {"v1"}}
	reply := c.HandleHeartbeat(fleetserver.Heartbeat{Name: "a", EntryVM: &vm, Versions: versions})
	assert.Assert(t, !reply.CompleteVersions, "it has just started")
	assert.DeepEqual(t, reply.PendingVersions, map[string]map[string]time.Duration{"s": {"v1": 0}})
	c.markKept(versions)
	reply = c.HandleHeartbeat(fleetserver.Heartbeat{Name: "a", Versions: versions})
	wait := reply.PendingVersions["s"]["v1"]
	assert.Assert(t, wait > 0 && wait <= pinner.ConfirmationValidity, "%v", wait)
	assert.Equal(t, len(c.pins.Pending(time.Now().Add(pinner.ConfirmationValidity))), 0)
}

// Guards against streams that are refused after a restart of all processes until versions are established anew, and
// against one that counts as established because it was on the disk.
func TestEstablishedVersionsSurviveARestart(t *testing.T) {
	store, err := storer.Open(storer.Config{Path: filepath.Join(t.TempDir(), "store")})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, store.Close()) }()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	before := New(Config{Logger: logger})
	older, both := map[string][]string{"s": {"v1"}}, map[string][]string{"s": {"v1", "v2"}}
	before.seeVersions(time.Now(), both)
	before.pins.Restore(time.Now(), older)
	after := restartWithVersions(t, before, store)
	assert.DeepEqual(t, after.pins.Established(time.Now()), older)
	assert.DeepEqual(t, after.pins.Pending(time.Now()), map[string]map[string]time.Duration{"s": {"v2": 0}})
}
