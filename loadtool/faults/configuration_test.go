package faults

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/loadtool/harness"
)

// voters are the VMs whose controllers are voting members of the consensus group.
var voters = []string{"zone-a-1", "zone-b-1", "zone-c-1"}

// Guards against two documents of the same version being accepted, and against a resend that gets a different outcome.
func concurrentPromotions(t *testing.T) {
	env := newEnvironment(t)
	const rounds = 4
	for round := range rounds {
		version := uint64(round + 2)
		replies := env.promoteConcurrently(version)
		accepted := 0
		for i, reply := range replies {
			if reply.Status == http.StatusOK {
				accepted++
			}
			resent, err := env.promote(voters[(i+1)%len(voters)], version, weightFor(i), requestIDFor(version, i))
			assert.NilError(t, err)
			assert.Equal(t, resent.Status, reply.Status, "resend through another controller: %s, first: %s", resent.Body, reply.Body)
		}
		assert.Equal(t, accepted, 1, "%v", replies)
		env.eventually(fmt.Sprintf("version %d is enforced everywhere", version), convergenceTimeout, func() bool { return env.enforcedEverywhere(version) })
	}
}

// promoteConcurrently promotes a different document of the same version at each voter.
func (env *environment) promoteConcurrently(version uint64) []harness.PromotionReply {
	env.t.Helper()
	replies := make([]harness.PromotionReply, len(voters))
	var group sync.WaitGroup
	for i, vm := range voters {
		group.Go(func() {
			reply, err := env.promote(vm, version, weightFor(i), requestIDFor(version, i))
			assert.Check(env.t, err)
			replies[i] = reply
		})
	}
	group.Wait()
	return replies
}

func weightFor(i int) string {
	return fmt.Sprintf("%d.0", i+2)
}

func requestIDFor(version uint64, i int) string {
	return fmt.Sprintf("request-%d-%d", version, i)
}

// Guards against a promotion that is lost or applied twice when the controller that received it crashes.
func promotionControllerKilled(t *testing.T) {
	env := newEnvironment(t)
	for round, vm := range voters {
		version := uint64(round + 2)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = env.promote(vm, version, weightFor(round), requestIDFor(version, round))
		}()
		assert.NilError(t, env.process(harness.ProgramController, vm).Kill())
		<-done
		env.eventually("the resent promotion is accepted", convergenceTimeout, func() bool {
			reply, err := env.promote(voters[(round+1)%len(voters)], version, weightFor(round), requestIDFor(version, round))
			return err == nil && reply.Status == http.StatusOK
		})
		env.restart(env.process(harness.ProgramController, vm))
		env.eventually("the version is enforced everywhere", convergenceTimeout, func() bool { return env.enforcedEverywhere(version) })
	}
}

// Guards against a gateway that reverts to an older version, or stays on one, after it was paused during promotions.
func gatewayPausedDuringPromotion(t *testing.T) {
	env := newEnvironment(t)
	gateway := env.process(harness.ProgramGateway, "zone-a-2")
	for version := uint64(2); version < 5; version++ {
		assert.NilError(t, gateway.Pause())
		reply, err := env.promote("zone-b-1", version, weightFor(int(version)), requestIDFor(version, 0))
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, http.StatusOK, reply.Body)
		assert.NilError(t, gateway.Resume())
		highest := version - 1
		env.eventually("the resumed gateway enforces the version", convergenceTimeout, func() bool {
			current := env.versionAt(harness.ProgramGateway, "zone-a-2")
			assert.Assert(t, current == 0 || current >= highest, "version went from %d to %d", highest, current)
			highest = max(highest, current)
			return current == version
		})
	}
}

// Guards against a version that reverts when a controller restarts with an empty disk, and against the next promotion
// being refused.
func controllerLostDisk(t *testing.T) {
	env := newEnvironment(t)
	reply, err := env.promote("zone-a-1", 2, "2.0", "first")
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusOK, reply.Body)
	controller := env.process(harness.ProgramController, "zone-b-1")
	assert.NilError(t, controller.Kill())
	env.deleteData("zone-b-1")
	env.restart(controller)
	env.eventually("the restarted member enforces the version", convergenceTimeout, func() bool { return env.enforcedEverywhere(2) })
	reply, err = env.promote("zone-a-1", 3, "3.0", "second")
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusOK, reply.Body)
	env.eventually("the next version is enforced everywhere", convergenceTimeout, func() bool { return env.enforcedEverywhere(3) })
}
