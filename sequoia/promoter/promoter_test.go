package promoter

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxSnapshotSize leaves room for base64 and the other fields within the message limit of 16 MiB of the transport.
const maxSnapshotSize = 11 << 20

func TestMatrix(t *testing.T) {
	t.Run("at-most-once/view-change/stale-number", testStaleView)
	t.Run("at-most-once/view-change/no-shared-member", testDisjointView)
	t.Run("at-most-once/view-change/lost-member-returns", testLostMemberCannotReturn)
	t.Run("at-most-once/new-epoch/member-alive", testNewEpochWithLiveMember)
	t.Run("orders/lease/two-holders", testLeaseTakeover)
	t.Run("configuration/promote/resend-past-retention", testOutcomeRetention)
	t.Run("configuration/promote/no-trial", testPromoteWithoutTrial)
}

func newPromoterWithView() *Promoter {
	view := View{Zone: "z", Epoch: 1, Number: 1, Primary: "a#1", Members: []string{"a#1", "b#1"}}
	return New(Config{}, Genesis{Version: 1, Views: []View{view}})
}

func changeViewCommand(previous uint64, members ...string) Command {
	return Command{ChangeView: &ChangeView{Zone: "z", Previous: previous, Primary: members[0], Members: members}}
}

// Guards against two primaries both changing the same view.
func testStaleView(t *testing.T) {
	p := newPromoterWithView()
	assert.Assert(t, p.Apply(changeViewCommand(1, "b#1")).Accepted())
	stale := p.Apply(changeViewCommand(1, "a#1"))
	assert.Equal(t, stale.Result, ResultStale)
	assert.Equal(t, stale.View.Number, uint64(2))
}

// Guards against a view whose members have none of the permits that were granted.
func testDisjointView(t *testing.T) {
	p := newPromoterWithView()
	assert.Equal(t, p.Apply(changeViewCommand(1, "c#1", "d#1")).Result, ResultForbidden)
	assert.Equal(t, p.Apply(changeViewCommand(1, "c#1", "c#1", "a#1")).Result, ResultForbidden)
	assert.Assert(t, p.Apply(changeViewCommand(1, "c#1", "a#1")).Accepted())
}

// Guards against a member that was declared lost restoring old records after the epoch has changed.
func testLostMemberCannotReturn(t *testing.T) {
	p := newPromoterWithView()
	epoch := Command{StartEpoch: &StartEpoch{
		Zone: "z", PreviousEpoch: 1, PreviousView: 1, Lost: []string{"b#1", "a#1"}, Primary: "c#1", Members: []string{"c#1"},
	}}
	outcome := p.Apply(epoch)
	assert.Assert(t, outcome.Accepted())
	assert.Equal(t, outcome.View.Epoch, uint64(2))
	assert.Equal(t, p.Apply(epoch).Result, ResultStale)
	data, err := p.Snapshot()
	assert.NilError(t, err)
	restored := New(Config{}, Genesis{})
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, restored.Apply(changeViewCommand(2, "c#1", "a#1")).Result, ResultForbidden)
}

// Guards against a new epoch discarding keys while a member of the view still has their records.
func testNewEpochWithLiveMember(t *testing.T) {
	p := newPromoterWithView()
	for _, lost := range [][]string{{"a#1"}, {}, {"a#1", "c#1"}} {
		outcome := p.Apply(Command{StartEpoch: &StartEpoch{
			Zone: "z", PreviousEpoch: 1, PreviousView: 1, Lost: lost, Primary: "b#1", Members: []string{"b#1"},
		}})
		assert.Equal(t, outcome.Result, ResultForbidden)
	}
}

// Guards against two holders of one lease, and against a renewal with a stale fencing token.
func testLeaseTakeover(t *testing.T) {
	p := New(Config{}, Genesis{})
	first := p.Apply(Command{AcquireLease: &AcquireLease{Holder: "a"}})
	assert.Equal(t, first.Lease.FencingToken, uint64(1))
	assert.Assert(t, p.Apply(Command{RenewLease: &RenewLease{Holder: "a", FencingToken: 1}}).Accepted())
	late := p.Apply(Command{AcquireLease: &AcquireLease{Holder: "b", ExpectedFencingToken: 1}})
	assert.Equal(t, late.Result, ResultStale)
	second := p.Apply(Command{AcquireLease: &AcquireLease{Holder: "b", ExpectedFencingToken: 1, ExpectedRenewals: 1}})
	assert.Equal(t, second.Lease.FencingToken, uint64(2))
	third := p.Apply(Command{AcquireLease: &AcquireLease{Holder: "a", ExpectedFencingToken: 2}})
	assert.Equal(t, third.Lease.FencingToken, uint64(3))
	assert.Equal(t, p.Apply(Command{RenewLease: &RenewLease{Holder: "a", FencingToken: 1}}).Result, ResultStale)
}

// Guards against outcomes being stored without limit or dropped before their retention has passed.
func testOutcomeRetention(t *testing.T) {
	p := New(Config{OutcomeRetention: time.Hour, OutcomeLimit: 3}, Genesis{Version: 1})
	promote := func(id string, version uint64, elapsed time.Duration) Outcome {
		return p.Apply(Command{RequestID: id, Elapsed: elapsed, Promote: &Promote{Version: version, Operator: id, WithoutTrial: true}})
	}
	assert.Assert(t, promote("r-2", 2, 0).Accepted())
	assert.Assert(t, promote("r-2", 2, 59*time.Minute).Accepted())
	assert.Equal(t, promote("r-2", 2, time.Minute).Result, ResultConflict)
	for version := uint64(3); version < 9; version++ {
		assert.Assert(t, promote(fmt.Sprint("r-", version), version, 0).Accepted())
	}
	assert.Equal(t, len(p.outcomesByRequestID), 3)
	assert.Equal(t, len(p.state.Outcomes), 3)
}

// Guards against promoting a document that had no trial.
func testPromoteWithoutTrial(t *testing.T) {
	p := New(Config{}, Genesis{Version: 1})
	promote := Command{Promote: &Promote{Version: 2, Digest: "d"}}
	assert.Equal(t, p.Apply(promote).Result, ResultNoTrial)
	assert.Assert(t, p.Apply(Command{Trial: &Trial{Digest: "d"}}).Accepted())
	assert.Assert(t, p.Apply(promote).Accepted())
}

// Guards against a snapshot that exceeds one message when the stored outcomes and the history are at their limits.
func TestSnapshotSize(t *testing.T) {
	random := rand.NewChaCha8([32]byte{1})
	p := New(Config{}, Genesis{Version: 1})
	for version := uint64(2); version < historyLimit+100; version++ {
		outcome := p.Apply(Command{RequestID: randomHex(random, 16), Promote: &Promote{
			Version: version, Digest: randomHex(random, 32), Operator: "operator-" + randomHex(random, 4), WithoutTrial: true,
		}})
		assert.Assert(t, outcome.Accepted())
	}
	data, err := p.Snapshot()
	assert.NilError(t, err)
	t.Logf("snapshot with %d outcomes and %d promotions: %d bytes", len(p.state.Outcomes), len(p.state.History), len(data))
	assert.Assert(t, len(data) < maxSnapshotSize)
	assert.NilError(t, New(Config{}, Genesis{}).Restore(data))
}

func randomHex(random *rand.ChaCha8, size int) string {
	data := make([]byte, size)
	_, _ = random.Read(data)
	return hex.EncodeToString(data)
}

// FuzzDecode guards against a log entry or forwarded command that makes the state machine panic.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"promote":{"version":2}}`, `{"change-view":{"zone":"z","previous":1,"primary":"a#1","members":["a#1"]}}`, `{"start-epoch":{}}`, `{"acquire-lease":{"holder":"a"}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		command, err := Decode(data)
		if err == nil {
			newPromoterWithView().Apply(command)
		}
	})
}
