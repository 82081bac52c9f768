package conductor

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against applying the log of a voter that lacks acknowledged changes, after a restart of all coordinators.
func TestMostAdvancedLogNeedsAMajority(t *testing.T) {
	h := newHeartbeater(Config{}, nil, nil)
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	h.coordinators[first] = &coordinatorState{lastReply: time.Now(), logPosition: &fleetserver.LogPosition{Term: 2, Index: 27, Voters: 3}}
	_, found := h.mostAdvancedLog()
	assert.Assert(t, !found, "one of three voters is no majority")
	h.coordinators[second] = &coordinatorState{lastReply: time.Now(), logPosition: &fleetserver.LogPosition{Term: 2, Index: 28, Voters: 3}}
	mostAdvanced, found := h.mostAdvancedLog()
	assert.Assert(t, found)
	assert.Equal(t, mostAdvanced, second)
	h.coordinators[first].logPosition.Term = 3
	mostAdvanced, _ = h.mostAdvancedLog()
	assert.Equal(t, mostAdvanced, first)
	h.revision = 1
	_, found = h.mostAdvancedLog()
	assert.Assert(t, !found, "this VM has an applied state")
}

// Guards against returning to a lower version, and against keeping a replayed state that was never committed.
func TestMayApply(t *testing.T) {
	h := newHeartbeater(Config{}, nil, nil)
	assert.Assert(t, h.mayApply(fleetserver.State{Revision: 5, Version: 9}, false))
	h.revision, h.version, h.unconfirmed = 5, 9, true
	assert.Assert(t, !h.mayApply(fleetserver.State{Revision: 6, Version: 10}, false))
	assert.Assert(t, !h.mayApply(fleetserver.State{Revision: 4, Version: 8}, true))
	assert.Assert(t, h.mayApply(fleetserver.State{Revision: 5, Version: 9}, true))
	h.unconfirmed = false
	assert.Assert(t, !h.mayApply(fleetserver.State{Revision: 5, Version: 9}, true))
	assert.Assert(t, h.mayApply(fleetserver.State{Revision: 6, Version: 9}, true))
}

// Guards against a coordinator without a leader taking back what this VM knows from the logs, such as an evacuation.
func TestStateWithoutALeaderReplacedTheReplayedOne(t *testing.T) {
	h := newHeartbeater(Config{}, nil, nil)
	h.revision, h.version, h.unconfirmed = 5, 9, true
	assert.Assert(t, !h.offersNewer(fleetserver.HeartbeatReply{Revision: 4, Unconfirmed: true}))
	assert.Assert(t, !h.offersNewer(fleetserver.HeartbeatReply{}))
	assert.Assert(t, h.offersNewer(fleetserver.HeartbeatReply{Revision: 4}), "a leader has confirmed it")
	h.unconfirmed = false
	assert.Assert(t, !h.offersNewer(fleetserver.HeartbeatReply{Revision: 5}))
	assert.Assert(t, h.offersNewer(fleetserver.HeartbeatReply{Revision: 6, Unconfirmed: true}), "it was committed")
}

// Guards against a fleet that is merged anew for each reply, which costs more the larger it is, and against one that stays
// when a coordinator has a new fleet or falls silent.
func TestFleetIsMergedWhenItHasChanged(t *testing.T) {
	var merged [][]fleetserver.EntryVM
	h := newHeartbeater(Config{}, nil, func(fleet []fleetserver.EntryVM) { merged = append(merged, fleet) })
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	reply := func(coordinator netip.AddrPort, digest uint64, names ...string) {
		fleet := fleetserver.Fleet{Digest: digest}
		for _, name := range names {
			fleet.EntryVMs = append(fleet.EntryVMs, fleetserver.EntryVM{Name: name})
		}
		h.coordinators[coordinator] = &coordinatorState{lastReply: time.Now(), fleet: fleet}
		h.updateFleet()
	}
	for range 3 {
		reply(first, 1, "a")
	}
	assert.Equal(t, len(merged), 1)
	reply(second, 2, "a", "b")
	reply(first, 1, "a")
	assert.Equal(t, len(merged), 2)
	assert.Equal(t, len(merged[1]), 2)
	h.coordinators[second].lastReply = time.Now().Add(-2 * replyMaxAge)
	reply(first, 1, "a")
	assert.Equal(t, len(merged), 3)
	assert.Equal(t, len(merged[2]), 1)
}
