package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

// Guards against a restarted member reporting the state of its snapshot to entry VMs although newer changes were
// acknowledged. TestRestartedMemberWaitsForALeader has no snapshot and does not cover this case.
func TestUnconfirmedStateIsNotReported(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &member{stateMachine: newStateMachine(func(registrar.State) {}), startedAt: now}
	command, err := registrar.Encode(registrar.Command{ID: "a", Put: &registrar.Put{Version: 4, Text: []byte("four")}})
	assert.NilError(t, err)
	_, err = m.stateMachine.Apply(command)
	assert.NilError(t, err)
	assert.NilError(t, m.stateMachine.BatchApplied())
	assert.Equal(t, m.appliedState(now.Add(time.Second)).Version, uint64(0))
	m.updateConfirmed(replicator.Status{Leader: "b#1", Applied: 6}, 7)
	assert.Equal(t, m.appliedState(now.Add(time.Second)).Version, uint64(0), "part of the log is not applied yet")
	assert.Equal(t, m.appliedState(now.Add(unconfirmedStateDelay)).Version, uint64(4), "a member without a leader serves by its applied state")
	m.updateConfirmed(replicator.Status{Leader: "b#1", Applied: 7}, 7)
	assert.Equal(t, m.appliedState(now.Add(time.Second)).Version, uint64(4))
}
