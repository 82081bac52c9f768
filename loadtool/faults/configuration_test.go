package faults

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/loadtool/harness"
)

// voters are the VMs of the controllers that vote.
var voters = []string{"zone-a-1", "zone-b-1", "zone-c-1"}

// Guards against two documents with one version being accepted, and against a resend that gets another outcome.
func operatorsRace(t *testing.T) {
	w := newWorld(t)
	const rounds = 4
	for round := range rounds {
		version := uint64(round + 2)
		replies := w.race(version)
		accepted := 0
		for i, reply := range replies {
			if reply.Status == http.StatusOK {
				accepted++
			}
			again, err := w.promote(voters[(i+1)%len(voters)], version, weightOf(i), requestOf(version, i))
			assert.NilError(t, err)
			assert.Equal(t, again.Status, reply.Status, "resend through another controller: %s, first: %s", again.Body, reply.Body)
		}
		assert.Equal(t, accepted, 1, "%v", replies)
		w.eventually(fmt.Sprintf("version %d is in force everywhere", version), settleLimit, func() bool { return w.inForceEverywhere(version) })
	}
}

// race promotes a different document of the same version at each voter at the same time.
func (w *world) race(version uint64) []harness.PromotionReply {
	w.t.Helper()
	replies := make([]harness.PromotionReply, len(voters))
	var group sync.WaitGroup
	for i, vm := range voters {
		group.Go(func() {
			reply, err := w.promote(vm, version, weightOf(i), requestOf(version, i))
			assert.Check(w.t, err)
			replies[i] = reply
		})
	}
	group.Wait()
	return replies
}

func weightOf(i int) string {
	return fmt.Sprintf("%d.0", i+2)
}

func requestOf(version uint64, i int) string {
	return fmt.Sprintf("request-%d-%d", version, i)
}

// Guards against a promotion that is lost or made twice when the controller that received it dies.
func promotionControllerKilled(t *testing.T) {
	w := newWorld(t)
	for round, vm := range voters {
		version := uint64(round + 2)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = w.promote(vm, version, weightOf(round), requestOf(version, round))
		}()
		assert.NilError(t, w.process(harness.ProgramController, vm).Kill())
		<-done
		w.eventually("the resent promotion is accepted", settleLimit, func() bool {
			reply, err := w.promote(voters[(round+1)%len(voters)], version, weightOf(round), requestOf(version, round))
			return err == nil && reply.Status == http.StatusOK
		})
		w.restart(w.process(harness.ProgramController, vm))
		w.eventually("the version is in force everywhere", settleLimit, func() bool { return w.inForceEverywhere(version) })
	}
}

// Guards against a gateway that enforces an older version after it was stopped for a while, or that stays behind.
func gatewayPausedDuringPromotion(t *testing.T) {
	w := newWorld(t)
	gateway := w.process(harness.ProgramGateway, "zone-a-2")
	for version := uint64(2); version < 5; version++ {
		assert.NilError(t, gateway.Pause())
		reply, err := w.promote("zone-b-1", version, weightOf(int(version)), requestOf(version, 0))
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, http.StatusOK, reply.Body)
		assert.NilError(t, gateway.Resume())
		highest := version - 1
		w.eventually("the paused gateway takes the version", settleLimit, func() bool {
			now := w.versionAt(harness.ProgramGateway, "zone-a-2")
			assert.Assert(t, now == 0 || now >= highest, "version went from %d to %d", highest, now)
			highest = max(highest, now)
			return now == version
		})
	}
}

// Guards against a version that reverts when a controller that lost its disk comes back, and against a promotion that is
// refused afterwards.
func controllerLostDisk(t *testing.T) {
	w := newWorld(t)
	reply, err := w.promote("zone-a-1", 2, "2.0", "first")
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusOK, reply.Body)
	controller := w.process(harness.ProgramController, "zone-b-1")
	assert.NilError(t, controller.Kill())
	w.loseDisk("zone-b-1")
	w.restart(controller)
	w.eventually("the new member has the version", settleLimit, func() bool { return w.inForceEverywhere(2) })
	reply, err = w.promote("zone-a-1", 3, "3.0", "second")
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusOK, reply.Body)
	w.eventually("the next version is in force everywhere", settleLimit, func() bool { return w.inForceEverywhere(3) })
}
