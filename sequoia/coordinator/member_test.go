package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/registrar"
	"sequoiaspread.example/sequoia/replicator"
)

// Guards against a restarted member telling entry VMs what its snapshot holds although newer changes were acknowledged;
// TestRestartedMemberWaitsForALeader has no snapshot and does not reach this rule.
func TestUnconfirmedStateIsNotTold(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &member{machine: newMachine(func(registrar.State) {}), started: now}
	command, err := registrar.Encode(registrar.Command{ID: "a", Put: &registrar.Put{Version: 4, Text: []byte("four")}})
	assert.NilError(t, err)
	_, err = m.machine.Apply(command)
	assert.NilError(t, err)
	assert.NilError(t, m.machine.BatchApplied())
	assert.Equal(t, m.inForce(now.Add(time.Second)).Version, uint64(0))
	m.confirm(replicator.Status{Leader: "b#1", Applied: 6}, 7)
	assert.Equal(t, m.inForce(now.Add(time.Second)).Version, uint64(0), "a part of the log is not applied yet")
	assert.Equal(t, m.inForce(now.Add(unconfirmedAfter)).Version, uint64(4), "a part that is cut off serves by what it has")
	m.confirm(replicator.Status{Leader: "b#1", Applied: 7}, 7)
	assert.Equal(t, m.inForce(now.Add(time.Second)).Version, uint64(4))
}
