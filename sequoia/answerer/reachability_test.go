package answerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against every request trying a partitioned region: on day scale-1 of the grown Guild deployment, 130 requests
// per second waited in vain for a connection while two regions were partitioned from each other.
func TestPartitionedRegionIsProbedByOneRequest(t *testing.T) {
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "north"}}
	now := time.Unix(1000, 0)
	r := newReachability()
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.recordFailure(now, "a")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2, "one unreachable VM marks its region as partitioned")
	r.recordFailure(now, "b")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0)
	now = now.Add(unreachableBackoff + time.Millisecond)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.recordProbe(now, "north", fleet)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0, "a second request probes the region")
	assert.Equal(t, len(r.usable(now, "west", fleet[:1])), 1)
	now = now.Add(unreachableBackoff + time.Millisecond)
	r.recordProbe(now, "north", fleet)
	r.recordSuccess(fleet, target{name: "c", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3, "the region is still treated as partitioned")
}
