package dispatcher

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leavingFleet models VMs of a region that have the same list with one upstream.
type leavingFleet struct {
	t   *testing.T
	vms []*Dispatcher
	now time.Time
}

func newLeavingFleet(t *testing.T, vms int) *leavingFleet {
	f := &leavingFleet{t: t, now: start}
	for range vms {
		f.vms = append(f.vms, newDispatcher(newUpstream("a")))
	}
	return f
}

// pass lets time pass.
func (f *leavingFleet) pass(duration time.Duration) { f.now = f.now.Add(duration) }

// list gives all VMs a list with the upstream, or without it.
func (f *leavingFleet) list(upstreams ...Upstream) {
	for _, vm := range f.vms {
		vm.SetUpstreams(f.now, upstreams)
	}
}

// tell passes the load update of one VM to another one.
func (f *leavingFleet) tell(from, to int) {
	f.vms[to].UpdateLeaving(f.now, f.vms[from].LocalLeaving(f.now))
}

func (f *leavingFleet) uses(vm int) bool {
	f.t.Helper()
	request := newRequest(0)
	choice := f.vms[vm].Choose(f.now, request, nil)
	f.vms[vm].End(f.now, choice.Upstream.ID, request.ID, ResultComplete)
	return choice.Reason == ReasonNone
}

func leavingUpstream(id string) Upstream {
	upstream := newUpstream(id)
	upstream.Leaving = true
	return upstream
}

// Guards against a list that still names a leaving upstream as ready, and against a notice that ends with time alone.
func TestLeavingOutweighsTheList(t *testing.T) {
	f := newLeavingFleet(t, 1)
	assert.Assert(t, f.uses(0))
	assert.Assert(t, f.vms[0].RecordLeaving(f.now, "a"))
	assert.Assert(t, !f.vms[0].RecordLeaving(f.now, "a"), "logged once")
	for range 100 {
		f.pass(time.Minute)
		f.list(newUpstream("a"))
		assert.Assert(t, !f.uses(0))
	}
}

// Guards against VMs of the region that go on using an upstream until each has heard from it, and against one that knows
// nothing of it after a restart.
func TestLeavingReachesTheOtherVMs(t *testing.T) {
	f := newLeavingFleet(t, 3)
	f.vms[0].RecordLeaving(f.now, "a")
	f.tell(0, 1)
	assert.Assert(t, !f.uses(1))
	assert.Assert(t, f.uses(2))
	f.pass(time.Minute)
	f.vms[0] = newDispatcher(newUpstream("a"))
	assert.Assert(t, f.uses(0), "after the restart")
	f.tell(1, 0)
	assert.Assert(t, !f.uses(0))
}

// Guards against a ban on the next incarnation with the same ID, also by a VM that has not seen the list change yet.
func TestNextIncarnationIsUsed(t *testing.T) {
	for name, between := range map[string][]Upstream{"draining": {leavingUpstream("a")}, "gone": nil} {
		t.Run(name, func(t *testing.T) {
			f := newLeavingFleet(t, 2)
			f.vms[0].RecordLeaving(f.now, "a")
			f.tell(0, 1)
			late := f.vms[1].LocalLeaving(f.now)
			f.pass(time.Second)
			f.list(between...)
			assert.Assert(t, !f.uses(0))
			f.pass(5 * time.Second)
			f.list(newUpstream("a"))
			f.pass(returnDelay)
			assert.Assert(t, f.uses(0))
			f.vms[0].UpdateLeaving(f.now.Add(-5*time.Second), late)
			assert.Assert(t, f.uses(0), "an older notice")
			assert.Assert(t, f.vms[0].RecordLeaving(f.now, "a"), "the next incarnation leaves, too")
			assert.Assert(t, !f.uses(0))
		})
	}
}

// Guards against a reading of the list that is older than the one before it and names a leaving upstream as ready.
func TestOlderReadingEndsNoNotice(t *testing.T) {
	f := newLeavingFleet(t, 1)
	f.vms[0].RecordLeaving(f.now, "a")
	f.list(leavingUpstream("a"))
	f.pass(600 * time.Millisecond)
	f.list(newUpstream("a"))
	assert.Assert(t, !f.uses(0))
	f.pass(600 * time.Millisecond)
	f.list(leavingUpstream("a"))
	f.pass(time.Minute)
	assert.Assert(t, !f.uses(0))
}

// Guards against a ban on another upstream at the address of one that left, and against notices that are kept for good.
func TestNoticesAreForgotten(t *testing.T) {
	f := newLeavingFleet(t, 1)
	f.vms[0].RecordLeaving(f.now, "a")
	f.list(newUpstream("b"))
	assert.Assert(t, f.uses(0))
	assert.Equal(t, len(f.vms[0].LocalLeaving(f.now)), 0)
	f.pass(leavingMemory + time.Second)
	f.list(newUpstream("b"))
	assert.Equal(t, len(f.vms[0].leaving), 0)
}

// Guards against reports that no VM sends, with an impossible age or for an unknown upstream.
func TestInvalidReportsAreIgnored(t *testing.T) {
	f := newLeavingFleet(t, 1)
	vm, a := f.vms[0], UpstreamKeyOf("a")
	for _, age := range []int{-1, math.MinInt, max(maxLeavingAge, maxLimitAge) + 1, math.MaxInt} {
		vm.UpdateLeaving(f.now, LeavingReports{a: age, UpstreamKeyOf("x"): 1})
		vm.UpdateLimits(f.now, map[UpstreamKey]LimitReport{a: {Stated: true, Age: age}})
	}
	assert.Assert(t, f.uses(0))
	assert.Equal(t, len(vm.leaving), 0)
}
