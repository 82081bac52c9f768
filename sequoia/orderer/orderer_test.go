package orderer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const defaultSchedules = 500

func schedules() int {
	if count, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil {
		return count
	}
	return defaultSchedules
}

// upstream is a stand-in that records the fencing numbers of the orders that it takes.
type upstream struct {
	checks  bool
	highest uint64
	applied []uint64
}

func (u *upstream) take(fencing uint64) Result {
	if u.checks && fencing < u.highest {
		return ResultStaleFencingToken
	}
	u.highest = max(u.highest, fencing)
	u.applied = append(u.applied, fencing)
	return ResultAccepted
}

// controller is one orderer with a clock of its own rate, that may hang and may have orders on their way.
type controller struct {
	orderer   *Orderer
	rate      float64
	hungUntil time.Time
	cutUntil  time.Time
}

func (c *controller) clock(now time.Time) time.Time {
	return epoch.Add(time.Duration(float64(now.Sub(epoch)) * c.rate))
}

// agreement is a stand-in for the agreed lease.
type agreement struct {
	lease LeaseObserved
}

func (a *agreement) perform(self string, e Effect, sent time.Time) (LeaseReply, bool) {
	switch e := e.(type) {
	case Acquire:
		if e.ExpectedFencingToken != a.lease.FencingToken || e.ExpectedRenewals != a.lease.Renewals {
			return LeaseReply{FencingToken: a.lease.FencingToken, SentAt: sent}, true
		}
		a.lease = LeaseObserved{Holder: self, FencingToken: a.lease.FencingToken + 1}
	case Renew:
		if a.lease.Holder != self || a.lease.FencingToken != e.FencingToken {
			return LeaseReply{FencingToken: a.lease.FencingToken, SentAt: sent}, true
		}
		a.lease.Renewals++
	default:
		return LeaseReply{}, false
	}
	return LeaseReply{Granted: true, FencingToken: a.lease.FencingToken, SentAt: sent}, true
}

func plan(checks bool, state ModelState) Plan {
	return Plan{Assignments: []Assignment{{Target: testTarget, State: state, ChecksFencingToken: checks}}}
}

var testTarget = Target{Upstream: "u", Incarnation: 1, Model: "m"}

// delayed is an order on its way: first it waits to be written, then for its bytes to arrive.
type delayed struct {
	at      time.Time
	from    int
	send    Send
	written bool
}

// run plays one random schedule: controllers hang, are cut off from the agreement, and orders are delayed within the
// time that a sender keeps its connection open. It returns the fencing
// numbers of the orders that took effect.
func run(seed uint64, checks bool) []uint64 {
	random := rand.New(rand.NewPCG(seed, 1))
	u := &upstream{checks: checks}
	a := &agreement{}
	controllers := newControllers(random, checks)
	var orders []delayed
	const step = 100 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(90 * time.Second)); now = now.Add(step) {
		orders = deliver(now, orders, u, controllers, random)
		for i, c := range controllers {
			if now.Before(c.hungUntil) {
				continue
			}
			if random.IntN(100) == 0 {
				c.hungUntil = now.Add(time.Duration(random.IntN(15)) * time.Second)
				continue
			}
			if random.IntN(100) == 0 {
				c.cutUntil = now.Add(time.Duration(random.IntN(15)) * time.Second)
			}
			cut := now.Before(c.cutUntil) || random.IntN(10) == 0
			orders = append(orders, advance(c, i, now, a, cut, random)...)
		}
	}
	return u.applied
}

func newControllers(random *rand.Rand, checks bool) []*controller {
	var list []*controller
	for i := range 3 {
		o := New(Config{HolderID: fmt.Sprintf("c%d", i), TakeoverDelay: time.Duration(i) * 500 * time.Millisecond})
		o.Step(epoch, plan(checks, ModelLoaded))
		list = append(list, &controller{orderer: o, rate: 1 + (random.Float64()-0.5)*DefaultMaxClockDrift})
	}
	return list
}

func advance(c *controller, index int, now time.Time, a *agreement, cut bool, random *rand.Rand) []delayed {
	local := c.clock(now)
	if !cut {
		c.orderer.Step(local, a.lease)
	}
	c.orderer.Step(local, ModelObserved{Target: testTarget, State: ModelUnloaded})
	var orders []delayed
	for _, e := range c.orderer.Tick(local) {
		if send, ok := e.(Send); ok {
			orders = append(orders, delayed{at: now.Add(randomDelay(random)), from: index, send: send})
			continue
		}
		if cut {
			continue
		}
		if reply, ok := a.perform(c.orderer.config.HolderID, e, local); ok {
			c.orderer.Step(local, reply)
		}
	}
	return orders
}

// deliver writes an order when its time has come, unless its sender hangs; a sender that resumes after the deadline does
// not write it. Written bytes take effect up to a send bound later, whatever becomes of the sender.
func deliver(now time.Time, orders []delayed, u *upstream, controllers []*controller, random *rand.Rand) []delayed {
	var rest []delayed
	for _, each := range orders {
		c := controllers[each.from]
		switch {
		case now.Before(each.at) || (!each.written && now.Before(c.hungUntil)):
			rest = append(rest, each)
		case each.written:
			result := u.take(each.send.FencingToken)
			c.orderer.Step(c.clock(now), OrderReply{ID: each.send.ID, Result: result})
		case !c.clock(now).After(each.send.Deadline):
			each.written = true
			each.at = now.Add(randomDelay(random))
			rest = append(rest, each)
		}
	}
	return rest
}

func randomDelay(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(DefaultSendTimeout)))
}

func TestMatrix(t *testing.T) {
	t.Run("orders/send/hang-and-resume", func(t *testing.T) {
		withOrders, withTakeover := 0, 0
		for seed := range uint64(schedules()) {
			applied := run(seed, false)
			assert.Assert(t, slices.IsSorted(applied), "seed %d: an old order took effect after a newer one: %v", seed, applied)
			if len(applied) > 0 {
				withOrders++
			}
			if len(slices.Compact(applied)) > 1 {
				withTakeover++
			}
		}
		t.Logf("%d schedules, %d with orders, %d with orders of several holders", schedules(), withOrders, withTakeover)
		// A schedule in which controllers hang all the time proves nothing, so most must see orders and takeovers.
		assert.Assert(t, withOrders*10 >= schedules()*9)
		assert.Assert(t, withTakeover*2 >= schedules())
	})
	t.Run("orders/send/late-message", func(t *testing.T) {
		u := &upstream{checks: true}
		assert.Equal(t, u.take(5), ResultAccepted)
		o := New(Config{HolderID: "a"})
		o.Step(epoch, plan(true, ModelLoaded))
		o.Step(epoch, LeaseReply{Granted: true, FencingToken: 4, SentAt: epoch})
		o.Step(epoch, ModelObserved{Target: testTarget, State: ModelUnloaded})
		send := firstSend(t, o.Tick(epoch))
		effects := o.Step(epoch, OrderReply{ID: send.ID, Result: u.take(send.FencingToken)})
		assert.DeepEqual(t, effects, []Effect{CancelAll{}})
		_, holding := o.HeldLease(epoch)
		assert.Assert(t, !holding)
	})
	t.Run("orders/send/slow-link", func(t *testing.T) {
		// The worst case by the stated bounds: the old holder's last renewal is granted at once but its reply carries the
		// latest lease end, its last order starts and is written as late as allowed, and its bytes take a send bound more.
		old := New(Config{HolderID: "old"})
		old.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		lastStart := epoch
		for now := epoch; now.Before(epoch.Add(DefaultLeaseDuration)); now = now.Add(time.Millisecond) {
			if old.mayStart(now, true) {
				lastStart = now
			}
		}
		slowClock := time.Duration(float64(lastStart.Sub(epoch)+DefaultSendTimeout) * (1 + DefaultMaxClockDrift))
		lastEffect := epoch.Add(slowClock + DefaultSendTimeout)
		successor := New(Config{HolderID: "new"})
		successor.Step(epoch, LeaseReply{Granted: true, FencingToken: 2, SentAt: epoch})
		for now := epoch; !now.After(lastEffect); now = now.Add(time.Millisecond) {
			successor.Step(now, LeaseReply{Granted: true, FencingToken: 2, SentAt: now})
			assert.Assert(t, !successor.mayStart(now, false), "an order may start %v before the last effect of the old holder", lastEffect.Sub(now))
		}
	})
	t.Run("orders/acquire/cut", func(t *testing.T) {
		o := New(Config{HolderID: "a"})
		o.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		_, holding := o.HeldLease(epoch.Add(DefaultLeaseDuration - 1))
		assert.Assert(t, holding)
		_, holding = o.HeldLease(epoch.Add(DefaultLeaseDuration))
		assert.Assert(t, !holding, "a controller that cannot renew must stop at the end of the lease")
	})
	t.Run("orders/acquire/late-message", func(t *testing.T) {
		o := New(Config{HolderID: "a"})
		o.Step(epoch.Add(4*time.Second), LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		_, holding := o.HeldLease(epoch.Add(DefaultLeaseDuration))
		assert.Assert(t, !holding, "the lease runs from the time its request was sent")
	})
	t.Run("orders/send/duplicate", func(t *testing.T) {
		o := New(Config{HolderID: "a"})
		o.Step(epoch, plan(true, ModelLoaded))
		o.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		o.Step(epoch, ModelObserved{Target: testTarget, State: ModelUnloaded})
		send := firstSend(t, o.Tick(epoch))
		o.Step(epoch, OrderReply{ID: send.ID, Result: ResultAccepted})
		o.Step(epoch, OrderReply{ID: send.ID, Result: ResultFailed})
		o.Step(epoch, ModelObserved{Target: testTarget, State: ModelLoaded})
		for _, effect := range o.Tick(epoch.Add(3 * time.Second)) {
			_, isSend := effect.(Send)
			assert.Assert(t, !isSend, "an order was repeated although its state is reached")
		}
	})
}

func firstSend(t *testing.T, effects []Effect) Send {
	t.Helper()
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			return send
		}
	}
	t.Fatal("no order was sent")
	return Send{}
}

// Guards against more loads at once than the weight store's rate allows for.
func TestLoadLimit(t *testing.T) {
	o := New(Config{HolderID: "a", MaxConcurrentLoads: 2})
	var p Plan
	for i := range 5 {
		p.Assignments = append(p.Assignments, Assignment{Target: Target{Upstream: fmt.Sprint(i), Model: "m"}, State: ModelLoaded, ChecksFencingToken: true})
	}
	o.Step(epoch, p)
	o.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
	for _, a := range p.Assignments {
		o.Step(epoch, ModelObserved{Target: a.Target, State: ModelUnloaded})
	}
	sends := 0
	for _, effect := range o.Tick(epoch) {
		if _, ok := effect.(Send); ok {
			sends++
		}
	}
	assert.Equal(t, sends, 2)
}

// Guards against a plan that moves models between upstreams without need, which costs cold starts.
func TestAssignKeepsLoadedUpstreams(t *testing.T) {
	upstreams := []Upstream{
		{Name: "a", Zone: "z", AllowedModels: []string{"m"}},
		{Name: "b", Zone: "z", AllowedModels: []string{"m"}, LoadedModels: []string{"m"}},
		{Name: "c", Zone: "z", AllowedModels: []string{"m"}, LoadedModels: []string{"m"}},
		{Name: "d", Zone: "other", AllowedModels: []string{"m"}, LoadedModels: []string{"m"}},
	}
	plan := Assign([]DesiredReplicas{{Model: "m", Zone: "z", Count: 1}}, upstreams)
	var states []string
	for _, a := range plan.Assignments {
		states = append(states, a.Upstream+" "+string(a.State))
	}
	assert.DeepEqual(t, states, []string{"b loaded", "c unloaded", "a unloaded"})
}

// Guards against unloading a model from several upstreams before gateways can know of the first.
func TestUnloadsAreSpaced(t *testing.T) {
	o := New(Config{HolderID: "a"})
	var p Plan
	for i := range 4 {
		p.Assignments = append(p.Assignments, Assignment{Target: Target{Upstream: fmt.Sprint(i), Model: "m"}, State: ModelUnloaded, ChecksFencingToken: true})
	}
	o.Step(epoch, p)
	for _, a := range p.Assignments {
		o.Step(epoch, ModelObserved{Target: a.Target, State: ModelLoaded})
	}
	unloads := 0
	for now := epoch; now.Before(epoch.Add(DefaultUnloadInterval)); now = now.Add(100 * time.Millisecond) {
		o.Step(now, LeaseReply{Granted: true, FencingToken: 1, SentAt: now})
		for _, effect := range o.Tick(now) {
			if _, ok := effect.(Send); ok {
				unloads++
			}
		}
	}
	assert.Equal(t, unloads, 1)
}
