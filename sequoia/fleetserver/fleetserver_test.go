package fleetserver

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against sending callers to a VM whose heartbeats have ceased, and against counting its load.
func TestStaleVMsAreExcluded(t *testing.T) {
	table := NewTable(2 * time.Second)
	assert.Assert(t, !table.Record(start, Heartbeat{Name: "a"}))
	assert.Assert(t, table.Record(start, Heartbeat{Name: "a", EntryVM: &EntryVM{Name: "a", Region: "n"}, Loads: Loads{"s": {Pressure: 9}}}))
	assert.Assert(t, table.Record(start.Add(time.Second), Heartbeat{Name: "b", EntryVM: &EntryVM{Name: "b", Region: "n"}, Loads: Loads{"s": {Pressure: 5}}}))
	assert.Equal(t, len(table.Live(start.Add(time.Second))), 2)
	assert.Equal(t, table.RegionLoads()["n"]["s"].Pressure, 7)
	live := table.Live(start.Add(2500 * time.Millisecond))
	assert.Equal(t, len(live), 1)
	assert.Equal(t, live[0].Name, "b")
	assert.Equal(t, table.RegionLoads()["n"]["s"].Pressure, 5)
}

// Guards against one VM without a usable upstream making its whole region look unavailable, and against a region in which
// most VMs have none looking usable.
func TestRegionLoadOfUnavailableServices(t *testing.T) {
	const vms = 33
	table := NewTable(time.Minute)
	report := func(i int, loads Loads) {
		name := fmt.Sprint("entry-", i)
		table.Record(start, Heartbeat{Name: name, EntryVM: &EntryVM{Name: name, Region: "n"}, Loads: loads})
	}
	for i := range vms {
		report(i, Loads{"s": {Pressure: 40}, "other": {Pressure: 10}})
	}
	report(0, Loads{"s": unavailableLoad, "other": {Pressure: 10}})
	report(1, Loads{"other": {Pressure: 10}})
	assert.Equal(t, table.RegionLoads()["n"]["s"].Pressure, 40)
	for i := range vms/2 + 1 {
		report(i, Loads{"s": unavailableLoad, "other": {Pressure: 10}})
	}
	assert.Equal(t, table.RegionLoads()["n"]["s"], unavailableLoad)
	assert.Equal(t, table.RegionLoads()["n"]["other"].Pressure, 10)
	for i := range vms {
		report(i, Loads{"s": unavailableLoad})
	}
	assert.Equal(t, table.RegionLoads()["n"]["s"], unavailableLoad)
}

// Guards against heartbeat replies whose size grows with the fleet: when each of 81 VMs received the other 80 in every
// reply, this made up most of the cost of traffic between regions.
func TestReplySizeDoesNotGrowWithTheFleet(t *testing.T) {
	table := NewTable(time.Minute)
	for i := range 400 {
		name := fmt.Sprint("entry-", i)
		table.Record(start, Heartbeat{Name: name, EntryVM: &EntryVM{Name: name, Region: fmt.Sprint("r", i%4)}, Loads: Loads{"s": {Pressure: 1}}})
	}
	fleet, err := table.Fleet(start, nil)
	assert.NilError(t, err)
	reply := table.HeartbeatReply(fleet, Heartbeat{Name: "entry-1", FleetDigest: fleet.Digest})
	data, err := json.Marshal(reply)
	assert.NilError(t, err)
	const maxReplyBytes = 1000
	assert.Assert(t, len(data) < maxReplyBytes, "%d bytes", len(data))
	assert.Assert(t, table.HeartbeatReply(fleet, Heartbeat{Name: "entry-1"}).Fleet != nil)
}
