package faults

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/loadtool/relay"
)

const (
	// resendDuration is how long an interrupted call is resent with the same key.
	resendDuration = 3 * time.Second
	// pauseDuration is longer than the time after which an unreachable member of a record group is replaced.
	pauseDuration = 6 * time.Second
	// slowExecution is the execution time of a call that a fault must interrupt.
	slowExecution = 800 * time.Millisecond
	// shortExecution is long enough for two attempts of one booking to overlap.
	shortExecution = 50 * time.Millisecond
)

// withServiceDelay sets the execution time of each call at the plain services.
func withServiceDelay(delay time.Duration) option {
	return func(c *harness.Config) { c.ServiceFlags = []string{"--delay", delay.String()} }
}

// resendRepeatedly repeats a call for resendDuration and ignores its errors.
func resendRepeatedly(call func() error) {
	for deadline := time.Now().Add(resendDuration); time.Now().Before(deadline); time.Sleep(pollInterval) {
		_ = call()
	}
}

// Guards against a second execution when the gateway that holds the permit crashes after the call was sent.
func bookingGatewayKilled(t *testing.T) {
	env := newEnvironment(t, withServiceDelay(slowExecution))
	call := newBooking()
	result := make(chan error, 1)
	go func() { result <- env.bookAt("north", "zone-a-1", call, responseTimeout) }()
	env.eventually("the call is executed", responseTimeout, func() bool { return env.executions(call.Key) == 1 })
	assert.NilError(t, env.process(harness.ProgramGateway, "zone-a-1").Kill())
	assert.Assert(t, <-result != nil)
	resendRepeatedly(func() error {
		err := env.bookAt("north", "zone-a-2", call, time.Second)
		assert.Assert(t, err != nil, "a resend must fail: the response was lost with the gateway")
		return err
	})
	assert.Equal(t, env.executions(call.Key), 1)
}

// Guards against a second execution when a gateway hangs after it was granted a permit, and sends the call late. The
// relay blocks the permit until the gateway is paused, so that the gateway reads it only after the resends.
func bookingGatewayPaused(t *testing.T) {
	toController := linksBetween(isProgram(harness.ProgramGateway), isProgram(harness.ProgramController))
	env := newEnvironment(t, withLinks(toController))
	gateway := env.process(harness.ProgramGateway, "zone-a-1")
	fromGateway := func(from harness.Spec, _ harness.Target) bool { return from.Name() == gateway.Spec.Name() }
	env.links.Each(fromGateway, (*relay.Relay).BlockBackward)
	call := newBooking()
	result := make(chan error, 1)
	go func() { result <- env.bookAt("north", "zone-a-1", call, responseTimeout) }()
	env.eventually("the permit is granted", responseTimeout, func() bool { return env.outcome("north", "zone-a-2", call.Key) == "pending" })
	assert.NilError(t, gateway.Pause())
	env.links.Each(fromGateway, (*relay.Relay).Heal)
	resendRepeatedly(func() error { return env.bookAt("north", "zone-a-2", call, time.Second) })
	assert.NilError(t, gateway.Resume())
	assert.Check(t, <-result != nil || env.executions(call.Key) == 1)
	resendRepeatedly(func() error { return env.bookAt("north", "zone-a-2", call, time.Second) })
	assert.Assert(t, env.executions(call.Key) <= 1)
}

// Guards against a second execution when the call reaches the plain service late, after resends.
func bookingCallDelayed(t *testing.T) {
	toService := linksBetween(isProgram(harness.ProgramGateway), isProgram(harness.ProgramService))
	env := newEnvironment(t, withLinks(toService))
	allLinks := func(harness.Spec, harness.Target) bool { return true }
	env.links.Each(allLinks, (*relay.Relay).Block)
	call := newBooking()
	result := make(chan error, 1)
	go func() { result <- env.bookAt("north", "zone-a-1", call, responseTimeout) }()
	resendRepeatedly(func() error { return env.bookAt("north", "zone-a-2", call, time.Second) })
	env.links.Each(allLinks, (*relay.Relay).Heal)
	assert.Check(t, <-result != nil || env.executions(call.Key) == 1)
	resendRepeatedly(func() error { return env.bookAt("north", "zone-a-2", call, time.Second) })
	assert.Assert(t, env.executions(call.Key) <= 1)
}

// bookDuringFault sends bookings while a fault is injected. Each booking is sent with retries, and concurrently once
// through each of two entry VMs. It checks that no key was executed twice and that each acknowledged key was executed.
func (env *environment) bookDuringFault(fault func()) {
	env.t.Helper()
	const bookings = 40
	keys := make([]string, bookings)
	errs := make([]error, bookings)
	var group sync.WaitGroup
	for i := range bookings {
		if i == bookings/4 {
			group.Go(fault)
		}
		call := newBooking()
		keys[i] = call.Key
		group.Go(func() { errs[i] = env.book(call) })
		for attempt, vm := range []string{"zone-a-1", "zone-a-2"} {
			group.Go(func() {
				time.Sleep(time.Duration(attempt) * pollInterval)
				_ = env.bookAt("north", vm, call, responseTimeout)
			})
		}
		time.Sleep(pollInterval)
	}
	group.Wait()
	for i, key := range keys {
		count := env.executions(key)
		assert.Assert(env.t, count <= 1, "booking %d was executed %d times", i, count)
		assert.Assert(env.t, errs[i] != nil || count == 1, "booking %d was acknowledged and executed %d times", i, count)
	}
}

// Guards against two primaries granting a permit for one key when a member of the record group hangs and resumes.
func bookingControllerPaused(t *testing.T) {
	env := newEnvironment(t, withServiceDelay(shortExecution))
	for _, vm := range []string{"zone-a-1", "zone-a-2"} {
		controller := env.process(harness.ProgramController, vm)
		env.bookDuringFault(func() {
			assert.Check(t, controller.Pause())
			time.Sleep(pauseDuration)
			assert.Check(t, controller.Resume())
		})
	}
	env.eventually("bookings work after the pause", convergenceTimeout, func() bool { return env.bookingWorks("north") })
}

// Guards against lost records when the members of the record group are killed and restarted one after the other.
func bookingControllerKilled(t *testing.T) {
	env := newEnvironment(t, withServiceDelay(shortExecution))
	recorded := newBooking()
	assert.NilError(t, env.book(recorded))
	for _, vm := range []string{"zone-a-1", "zone-a-2"} {
		controller := env.process(harness.ProgramController, vm)
		env.bookDuringFault(func() { assert.Check(t, controller.Kill()) })
		env.restart(controller)
		env.eventually("bookings work after the restart", convergenceTimeout, func() bool { return env.bookingWorks("north") })
	}
	assert.NilError(t, env.book(recorded))
	assert.Equal(t, env.executions(recorded.Key), 1)
}
