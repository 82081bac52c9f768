package answerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/fleetserver"
)

// Guards against every request trying a region that is cut off anew: on scale-1 of the grown Guild, 130 requests a second
// waited for a connection in vain while two regions were cut from each other.
func TestLostRegionIsTriedByOneRequest(t *testing.T) {
	fleet := []fleetserver.EntryVM{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "north"}}
	now := time.Unix(1000, 0)
	r := newReach()
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.note(now, "a")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 2, "one VM is not its region")
	r.note(now, "b")
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0)
	now = now.Add(unreachableTime + time.Millisecond)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3)
	r.try(now, "north", fleet)
	assert.Equal(t, len(r.usable(now, "north", fleet)), 0, "a second request tries the region")
	assert.Equal(t, len(r.usable(now, "west", fleet[:1])), 1)
	now = now.Add(unreachableTime + time.Millisecond)
	r.try(now, "north", fleet)
	r.heard(fleet, target{name: "c", region: "north"})
	assert.Equal(t, len(r.usable(now, "north", fleet)), 3, "the region answers again")
}
