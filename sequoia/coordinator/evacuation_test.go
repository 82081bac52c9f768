package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/registrar"
)

// startSingleCoordinator starts a consensus group of one, and returns a context for its calls.
func startSingleCoordinator(t *testing.T) (runningCoordinator, context.Context) {
	t.Helper()
	address := freeAddress(t)
	c := startCoordinator(t, address, []netip.AddrPort{address}, t.TempDir(), true)
	t.Cleanup(c.stop)
	putDocument(t, c, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return c, ctx
}

// stays is the sender of an order that still waits.
func stays() bool { return true }

// Guards against an order that undoes a newer one, whenever its sender gave it up and whatever the coordinator that read
// it knew then; and against one that is refused although its sender waits.
func TestOrderIsCarriedOutWhileItsSenderWaits(t *testing.T) {
	c, ctx := startSingleCoordinator(t)
	evacuate := func(active bool, waiting func() bool) error {
		return c.Evacuate(ctx, Evacuation{Zone: "z", Active: active, Waiting: waiting})
	}
	evacuated := func() int {
		state, err := c.Read(ctx)
		assert.NilError(t, err)
		return len(state.Evacuated)
	}
	assert.NilError(t, evacuate(true, stays))

	err := evacuate(false, func() bool { return false })
	var failure *Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind == KindWithdrawn, "%v", err)
	assert.Equal(t, evacuated(), 1)

	// Another order is acknowledged while the first one waits for its proposal; its sender has left then.
	asked := 0
	err = evacuate(false, func() bool {
		asked++
		if asked == 1 {
			assert.NilError(t, evacuate(true, stays))
		}
		return asked == 1
	})
	assert.Assert(t, errors.As(err, &failure) && failure.Kind == KindWithdrawn, "%v", err)
	assert.Equal(t, evacuated(), 1)

	// The same, but the sender still waits: its order is the newer one.
	asked = 0
	assert.NilError(t, evacuate(false, func() bool {
		asked++
		if asked == 1 {
			assert.NilError(t, evacuate(true, stays))
		}
		return true
	}))
	assert.Equal(t, asked, 2)
	assert.Equal(t, evacuated(), 0)
}

// Guards against a proposal that is itself late: it was sent when another state was in force.
func TestLateProposalChangesNothing(t *testing.T) {
	c, ctx := startSingleCoordinator(t)
	after := c.evacuations("z")
	for _, active := range []bool{true, false, true} {
		assert.NilError(t, c.Evacuate(ctx, Evacuation{Zone: "z", Active: active, Waiting: stays}))
	}
	outcome, err := c.propose(ctx, registrar.Command{Evacuate: &registrar.Evacuate{Zone: "z", After: &after}})
	assert.NilError(t, err)
	assert.Assert(t, outcome.Superseded)
	state, err := c.Read(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, state.Evacuated, []string{"z"})
}
