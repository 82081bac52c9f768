package fleetserver

import (
	"encoding/json"
	"fmt"
	"net/netip"
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

// Guards against a fleet or loads that are kept although a VM came, stopped, moved or fell silent, or the coordinators
// changed.
func TestKeptFleetFollowsEveryChange(t *testing.T) {
	table := NewTable(2 * time.Second)
	now := start
	digests := map[uint64]string{}
	coordinators := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}
	expectNew := func(step string) {
		t.Helper()
		fleet, err := table.Fleet(now, coordinators)
		assert.NilError(t, err)
		again, err := table.Fleet(now, coordinators)
		assert.NilError(t, err)
		assert.Equal(t, fleet.Digest, again.Digest)
		before, seen := digests[fleet.Digest]
		assert.Assert(t, !seen, "%s: the same fleet as after %s", step, before)
		digests[fleet.Digest] = step
	}
	record := func(name, region string, stopping bool) {
		table.Record(now, Heartbeat{
			Name: name, Stopping: stopping, EntryVM: &EntryVM{Name: name, Region: region}, Loads: Loads{region: {Pressure: 8}},
		})
	}
	expectNew("the start")
	record("a", "n", false)
	expectNew("a VM")
	record("b", "n", false)
	expectNew("another VM")
	record("b", "n", true)
	expectNew("a drain")
	record("b", "m", true)
	expectNew("a move")
	assert.DeepEqual(t, table.RegionLoads(), map[string]Loads{"n": {"n": {Pressure: 8}}, "m": {"m": {Pressure: 8}}})
	now = now.Add(time.Second)
	record("a", "n", false)
	record("c", "n", false)
	now = now.Add(1500 * time.Millisecond)
	expectNew("a silent VM")
	assert.DeepEqual(t, table.RegionLoads(), map[string]Loads{"n": {"n": {Pressure: 8}}})
	coordinators[0] = netip.MustParseAddrPort("10.0.0.2:1")
	expectNew("another coordinator")
}

// FuzzHeartbeat guards against a heartbeat or a reply that makes the other process panic.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"name":"a","entry":{"name":"a","zone":"z","region":"n"},"loads":{"s":{"pressure":7}},"fleet":3,"updates":true}`),
		[]byte(`{"digest":4,"base":3,"entries":[{"name":"b"}],"removed":["a"],"coordinators":["10.0.0.1:1"]}`))
	f.Fuzz(func(_ *testing.T, heartbeatText, fleetText []byte) {
		var heartbeat Heartbeat
		var update Fleet
		if json.Unmarshal(heartbeatText, &heartbeat) != nil || json.Unmarshal(fleetText, &update) != nil {
			return
		}
		table := NewTable(time.Second)
		for step := range 3 {
			now := start.Add(time.Duration(step) * time.Second)
			table.Record(now, heartbeat)
			fleet, err := table.Fleet(now, nil)
			if err != nil {
				continue
			}
			reply := table.HeartbeatReply(fleet, heartbeat)
			if reply.Fleet != nil {
				fleet, _ = fleet.Apply(*reply.Fleet)
			}
			fleet, _ = fleet.Apply(update)
			heartbeat.FleetDigest = fleet.Digest
		}
	})
}

// BenchmarkHeartbeat measures what a coordinator of 194 entry VMs spends on one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	const vms = 194
	table := NewTable(time.Minute)
	heartbeats := make([]Heartbeat, vms)
	for i := range vms {
		name := fmt.Sprint("front-", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8144)
		heartbeats[i] = Heartbeat{
			Name: name, Loads: Loads{"chat": {Pressure: 40}, "orders": {Pressure: 10}}, EntryVM: &EntryVM{
				Name: name, Zone: "z", Region: fmt.Sprint("r", i%3), CallerAddress: address, PeerAddress: address, GossipAddress: address,
			},
		}
		table.Record(start, heartbeats[i])
		heartbeats[i].EntryVM = nil
	}
	for i := 0; b.Loop(); i++ {
		heartbeat := heartbeats[i%vms]
		table.Record(start, heartbeat)
		fleet, err := table.Fleet(start, nil)
		if err != nil {
			b.Fatal(err)
		}
		heartbeat.FleetDigest = fleet.Digest
		table.HeartbeatReply(fleet, heartbeat)
	}
}
