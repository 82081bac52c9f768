package registrar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a second document under a version that is already taken, and against an older one taking effect.
func TestHighestVersionWins(t *testing.T) {
	r := New()
	for i, put := range []Put{{7, []byte("seven")}, {7, []byte("other")}, {3, []byte("three")}, {12, []byte("twelve")}, {9, []byte("nine")}} {
		r.Apply(Command{ID: fmt.Sprint(i), Put: &put})
	}
	assert.Equal(t, r.State().Version, uint64(12))
	assert.Equal(t, string(r.State().Text), "twelve")
	assert.Equal(t, r.State().Revision, uint64(2))
}

// Guards against a retried start of an evacuation that is applied after its end and evacuates the zone again.
func TestRepeatedCommandAppliesOnce(t *testing.T) {
	r := New()
	start := Command{ID: "a", Evacuate: &Evacuate{Zone: "z", Active: true}}
	r.Apply(start)
	r.Apply(Command{ID: "b", Evacuate: &Evacuate{Zone: "z"}})
	r.Apply(start)
	assert.Equal(t, len(r.State().Evacuated), 0)
}

// Guards against a snapshot that omits which commands were applied.
func TestSnapshotKeepsRecentCommands(t *testing.T) {
	r := New()
	start := Command{ID: "a", Evacuate: &Evacuate{Zone: "z", Active: true}}
	r.Apply(start)
	r.Apply(Command{ID: "b", Evacuate: &Evacuate{Zone: "z"}})
	data, err := r.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	restored.Apply(start)
	assert.Equal(t, len(restored.State().Evacuated), 0)
	assert.Equal(t, restored.Apply(Command{Read: true}).State.Revision, uint64(2))
}

// FuzzDecode guards against log data that makes a replica panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","put":{"version":2,"text":"eA=="}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if command, err := Decode(data); err == nil {
			New().Apply(command)
		}
	})
}

// Guards against an acknowledgement of a document that is not in force and not overtaken either.
func TestContainedCommandsChangeNothing(t *testing.T) {
	r := New()
	r.Apply(Command{ID: "a", Put: &Put{Version: 7}})
	for name, test := range map[string]struct {
		command Command
		want    bool
	}{
		"lower version":  {command: Command{Put: &Put{Version: 6}}, want: true},
		"same version":   {command: Command{Put: &Put{Version: 7}}, want: true},
		"higher version": {command: Command{Put: &Put{Version: 8}}},
		"evacuation":     {command: Command{Evacuate: &Evacuate{Zone: "z"}}},
		"read":           {command: Command{Read: true}},
	} {
		outcome, got := r.Contained(test.command)
		assert.Equal(t, got, test.want, name)
		if got {
			assert.DeepEqual(t, outcome, Outcome{Revision: 1, Version: 7})
		}
	}
}

// Guards against an evacuation command that is committed late and undoes a newer one, also one that found the zone as it
// wanted it, and against one that is refused although it is repeated only.
func TestEvacuationFollowsTheStateItWasMeantFor(t *testing.T) {
	evacuate := func(id string, active bool, after uint64) Command {
		return Command{ID: id, Evacuate: &Evacuate{Zone: "z", Active: active, After: &after}}
	}
	r := New()
	assert.DeepEqual(t, r.Apply(evacuate("a", true, 0)), Outcome{Revision: 1, Evacuations: 1})
	assert.DeepEqual(t, r.Apply(evacuate("b", true, 1)), Outcome{Revision: 1, Evacuations: 2})
	assert.DeepEqual(t, r.Apply(evacuate("late", false, 1)), Outcome{Revision: 1, Superseded: true, Evacuations: 2})
	assert.DeepEqual(t, r.State().Evacuated, []string{"z"})
	assert.DeepEqual(t, r.Apply(evacuate("c", false, 2)), Outcome{Revision: 2, Evacuations: 3})
	assert.DeepEqual(t, r.Apply(evacuate("c", false, 2)), Outcome{Revision: 2, Evacuations: 3})
	data, err := r.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	assert.DeepEqual(t, restored.Apply(evacuate("d", true, 2)), Outcome{Revision: 2, Superseded: true, Evacuations: 3})
}
