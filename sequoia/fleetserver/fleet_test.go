package fleetserver

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetReader is an entry VM that follows the fleet of one coordinator.
type fleetReader struct {
	name  string
	fleet Fleet
}

// ask sends a heartbeat and returns the size of the fleet in the reply in bytes.
func (r *fleetReader) ask(t *testing.T, now time.Time, table *Table, appliesUpdates bool) int {
	t.Helper()
	heartbeat := Heartbeat{Name: r.name, FleetDigest: r.fleet.Digest, AppliesUpdates: appliesUpdates}
	fleet, err := table.Fleet(now, []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7660")})
	assert.NilError(t, err)
	reply := table.HeartbeatReply(fleet, heartbeat)
	if reply.Fleet == nil {
		return 0
	}
	data, err := json.Marshal(reply.Fleet)
	assert.NilError(t, err)
	var received Fleet
	assert.NilError(t, json.Unmarshal(data, &received))
	applied, ok := r.fleet.Apply(received)
	assert.Assert(t, ok)
	r.fleet = applied
	return len(data)
}

func recordVM(table *Table, now time.Time, name string, stopping bool) {
	address := netip.MustParseAddrPort("10.1.0.12:8144")
	vm := EntryVM{Name: name, Zone: "north-a", Region: "north", CallerAddress: address, PeerAddress: address, GossipAddress: address}
	table.Record(now, Heartbeat{Name: name, EntryVM: &vm, Stopping: stopping})
}

// Guards against the whole fleet being sent to each VM when one of them starts or stops: with 194 VMs and six coordinators
// that is 45 MB for one change.
func TestChangeOfOneVMIsSmall(t *testing.T) {
	const vms, maxBytes = 194, 1000
	table := NewTable(time.Minute)
	for i := range vms {
		recordVM(table, start, fmt.Sprint("front-cairo-a-", i), false)
	}
	reader := &fleetReader{name: "front-cairo-a-0"}
	whole := reader.ask(t, start, table, true)
	assert.Assert(t, whole > vms*100, "%d bytes", whole)
	recordVM(table, start, "front-cairo-a-7", true)
	size := reader.ask(t, start, table, true)
	assert.Assert(t, size > 0 && size < maxBytes, "%d bytes", size)
	assert.Equal(t, len(reader.fleet.EntryVMs), vms)
}

// Guards against a VM that has another fleet than its coordinator after updates, whatever came and went in between and
// however many of them it missed, and against an update for a VM of a version that takes it for the whole fleet.
func TestUpdatesLeadToTheSameFleet(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := NewTable(3 * time.Second)
		readers := []*fleetReader{{name: "often"}, {name: "seldom"}, {name: "earlier version"}}
		now := start
		for step := range 500 {
			now = now.Add(100 * time.Millisecond)
			recordVM(table, now, fmt.Sprint("vm-", random.IntN(12)), random.IntN(5) == 0)
			readers[0].ask(t, now, table, true)
			if random.IntN(100) == 0 || step == 499 {
				readers[1].ask(t, now, table, true)
			}
			readers[2].ask(t, now, table, false)
			assert.Assert(t, slices.Equal(readers[0].fleet.EntryVMs, table.Live(now)))
			assert.Assert(t, slices.Equal(readers[2].fleet.EntryVMs, table.Live(now)))
		}
		assert.Assert(t, slices.Equal(readers[1].fleet.EntryVMs, readers[0].fleet.EntryVMs))
		assert.Equal(t, readers[1].fleet.Digest, readers[0].fleet.Digest)
	}
}

// Guards against an update that is applied to another fleet than the one it changes.
func TestUpdateOfAnotherFleetIsRefused(t *testing.T) {
	fleet := Fleet{Digest: 1, EntryVMs: []EntryVM{{Name: "a"}}}
	kept, ok := fleet.Apply(Fleet{Digest: 3, Base: 2, EntryVMs: []EntryVM{{Name: "b"}}})
	assert.Assert(t, !ok)
	assert.Equal(t, kept.Digest, fleet.Digest)
	assert.Equal(t, kept.EntryVMs[0].Name, "a")
}
