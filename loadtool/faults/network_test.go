package faults

import (
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/loadtool/relay"
	"sequoiaspread.example/sequoia/isolator"
)

// partitionDuration is longer than the time after which the state of another region expires.
const partitionDuration = 7 * time.Second

func (env *environment) deleteData(vm string) {
	env.t.Helper()
	assert.NilError(env.t, os.RemoveAll(env.DataFolder(vm)))
}

// Guards against a partitioned region that stops serving its local callers, that accepts a configuration change without
// a quorum, or that does not catch up after the partition.
func regionPartitioned(partition func(*relay.Relay)) func(*testing.T) {
	return func(t *testing.T) {
		env := newEnvironment(t, withLinks(crossesZones))
		env.links.Each(linksOf("zone-c"), partition)
		for deadline := time.Now().Add(partitionDuration); time.Now().Before(deadline); time.Sleep(pollInterval) {
			assert.NilError(t, env.chatAt("south", "zone-c-1"))
			assert.NilError(t, env.bookAt("south", "zone-c-1", newBooking(), responseTimeout))
			assert.NilError(t, env.chatAt("north", "zone-a-1"))
			assert.NilError(t, env.bookAt("north", "zone-a-1", newBooking(), responseTimeout))
		}
		env.promoteDuringPartition()
		env.links.Each(linksOf("zone-c"), (*relay.Relay).Heal)
		env.eventually("the version of the majority is enforced everywhere", convergenceTimeout, func() bool { return env.enforcedEverywhere(2) })
	}
}

// promoteDuringPartition checks that the majority accepts a document and the minority does not.
func (env *environment) promoteDuringPartition() {
	env.t.Helper()
	minority := make(chan harness.PromotionReply, 1)
	go func() {
		reply, _ := env.promote("zone-c-1", 2, "9.0", "minority")
		minority <- reply
	}()
	env.eventually("the majority accepts a document", convergenceTimeout, func() bool {
		reply, err := env.promote("zone-a-1", 2, "2.0", "majority")
		return err == nil && reply.Status == http.StatusOK
	})
	reply := <-minority
	assert.Assert(env.t, reply.Status != http.StatusOK, "the minority accepted a document: %s", reply.Body)
}

// linksOf selects the links into and out of an availability zone.
func linksOf(zone string) func(harness.Spec, harness.Target) bool {
	return func(from harness.Spec, to harness.Target) bool { return from.Zone == zone || to.Spec.Zone == zone }
}

// Guards against requests that hang on established connections that no longer carry data, while new connections work.
func stalledConnections(to harness.Program) func(*testing.T) {
	return func(t *testing.T) {
		env := newEnvironment(t, withLinks(linksBetween(isProgram(harness.ProgramGateway), isProgram(to))))
		assert.NilError(t, env.chatAt("north", "zone-a-1"))
		env.links.Each(func(harness.Spec, harness.Target) bool { return true }, (*relay.Relay).Stall)
		call := newBooking()
		assert.NilError(t, env.chatAt("north", "zone-a-1"))
		err := env.book(call)
		count := env.executions(call.Key)
		assert.Assert(t, count <= 1)
		assert.Assert(t, err != nil || count == 1)
		env.eventually("bookings work on new connections", convergenceTimeout, func() bool { return env.bookingWorks("north") })
	}
}

const crashMarker = "crash-the-engine"

// Guards against a request that crashes engine after engine as its caller resends it.
func crashingRequest(t *testing.T) {
	// All gateways together block a request after this many crashes.
	const engines, resends, maxCrashes = 9, 12, isolator.MaxLostUpstreams
	env := newEnvironment(t, func(c *harness.Config) {
		c.RunnerFlags = []string{"--crash-marker", crashMarker}
		c.Upstreams = map[string]int{"chat": engines}
	})
	for i := range resends {
		vm := env.Document.VMs[i%len(env.Document.VMs)].Name
		assert.Assert(t, env.chatWith("north", vm, crashMarker, resendDuration) != nil)
	}
	crashed := 0
	for _, process := range env.Processes(harness.ProgramRunner) {
		if !process.Running() {
			crashed++
		}
	}
	assert.Assert(t, crashed >= 1 && crashed <= maxCrashes, "%d of %d engines crashed", crashed, engines)
	assert.NilError(t, env.chatAt("north", "zone-a-1"))
}
