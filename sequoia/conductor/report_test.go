package conductor

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against a VM that serves by the log of a voter which lacks what was acknowledged, after all were restarted.
func TestFurthestNeedsAMajority(t *testing.T) {
	r := newReporter(Config{}, nil, nil)
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	r.heard[first] = &heard{at: time.Now(), logged: &fleetserver.LogPosition{Term: 2, Index: 27, Voters: 3}}
	_, found := r.furthest()
	assert.Assert(t, !found, "one of three voters is no majority")
	r.heard[second] = &heard{at: time.Now(), logged: &fleetserver.LogPosition{Term: 2, Index: 28, Voters: 3}}
	furthest, found := r.furthest()
	assert.Assert(t, found)
	assert.Equal(t, furthest, second)
	r.heard[first].logged.Term = 3
	furthest, _ = r.furthest()
	assert.Equal(t, furthest, first)
	r.revision = 1
	_, found = r.furthest()
	assert.Assert(t, !found, "this VM has a state in force")
}

// Guards against going back to a lower version, and against staying with a logged state that was never committed.
func TestMayApply(t *testing.T) {
	r := newReporter(Config{}, nil, nil)
	assert.Assert(t, r.mayApply(fleetserver.State{Revision: 5, Version: 9}, false))
	r.revision, r.version, r.unconfirmed = 5, 9, true
	assert.Assert(t, !r.mayApply(fleetserver.State{Revision: 6, Version: 10}, false))
	assert.Assert(t, !r.mayApply(fleetserver.State{Revision: 4, Version: 8}, true))
	assert.Assert(t, r.mayApply(fleetserver.State{Revision: 5, Version: 9}, true))
	r.unconfirmed = false
	assert.Assert(t, !r.mayApply(fleetserver.State{Revision: 5, Version: 9}, true))
	assert.Assert(t, r.mayApply(fleetserver.State{Revision: 6, Version: 9}, true))
}
