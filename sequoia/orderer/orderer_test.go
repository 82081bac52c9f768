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

func scheduleCount() int {
	if count, err := strconv.Atoi(os.Getenv("SEQUOIA_SCHEDULES")); err == nil {
		return count
	}
	return defaultSchedules
}

// fakeUpstream records the fencing tokens of the orders that it applies.
type fakeUpstream struct {
	checksToken   bool
	highestToken  uint64
	appliedTokens []uint64
}

func (u *fakeUpstream) apply(token uint64) Result {
	if u.checksToken && token < u.highestToken {
		return ResultStaleFencingToken
	}
	u.highestToken = max(u.highestToken, token)
	u.appliedTokens = append(u.appliedTokens, token)
	return ResultAccepted
}

// simController is an orderer with its own clock rate. It may hang or be partitioned from the agreed lease.
type simController struct {
	orderer          *Orderer
	clockRate        float64
	hungUntil        time.Time
	partitionedUntil time.Time
}

func (c *simController) localTime(now time.Time) time.Time {
	return epoch.Add(time.Duration(float64(now.Sub(epoch)) * c.clockRate))
}

// fakeLeaseStore stands in for the replicated lease.
type fakeLeaseStore struct {
	lease LeaseObserved
}

func (s *fakeLeaseStore) handle(holderID string, e Effect, sent time.Time) (LeaseReply, bool) {
	switch e := e.(type) {
	case Acquire:
		if e.ExpectedFencingToken != s.lease.FencingToken || e.ExpectedRenewals != s.lease.Renewals {
			return LeaseReply{FencingToken: s.lease.FencingToken, SentAt: sent}, true
		}
		s.lease = LeaseObserved{Holder: holderID, FencingToken: s.lease.FencingToken + 1}
	case Renew:
		if s.lease.Holder != holderID || s.lease.FencingToken != e.FencingToken {
			return LeaseReply{FencingToken: s.lease.FencingToken, SentAt: sent}, true
		}
		s.lease.Renewals++
	default:
		return LeaseReply{}, false
	}
	return LeaseReply{Granted: true, FencingToken: s.lease.FencingToken, SentAt: sent}, true
}

func planFor(checksToken bool, state ModelState) Plan {
	return Plan{Assignments: []Assignment{{Target: testTarget, State: state, ChecksFencingToken: checksToken}}}
}

var testTarget = Target{Upstream: "u", Incarnation: 1, Model: "m"}

// delayedOrder is an order in flight: first it waits to be written, then its bytes wait to arrive.
type delayedOrder struct {
	at      time.Time
	from    int
	send    Send
	written bool
}

// runSchedule runs one random schedule: controllers hang or are partitioned from the lease store, and orders are
// delayed within the time that a sender keeps its connection open. It returns the fencing tokens of the orders that
// took effect.
func runSchedule(seed uint64, checksToken bool) []uint64 {
	random := rand.New(rand.NewPCG(seed, 1))
	u := &fakeUpstream{checksToken: checksToken}
	store := &fakeLeaseStore{}
	controllers := newControllers(random, checksToken)
	var orders []delayedOrder
	const step = 100 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(90 * time.Second)); now = now.Add(step) {
		orders = deliverOrders(now, orders, u, controllers, random)
		for i, c := range controllers {
			if now.Before(c.hungUntil) {
				continue
			}
			if random.IntN(100) == 0 {
				c.hungUntil = now.Add(time.Duration(random.IntN(15)) * time.Second)
				continue
			}
			if random.IntN(100) == 0 {
				c.partitionedUntil = now.Add(time.Duration(random.IntN(15)) * time.Second)
			}
			partitioned := now.Before(c.partitionedUntil) || random.IntN(10) == 0
			orders = append(orders, advanceController(c, i, now, store, partitioned, random)...)
		}
	}
	return u.appliedTokens
}

func newControllers(random *rand.Rand, checksToken bool) []*simController {
	var controllers []*simController
	for i := range 3 {
		o := New(Config{HolderID: fmt.Sprintf("c%d", i), TakeoverDelay: time.Duration(i) * 500 * time.Millisecond})
		o.Step(epoch, planFor(checksToken, ModelLoaded))
		controllers = append(controllers, &simController{orderer: o, clockRate: 1 + (random.Float64()-0.5)*DefaultMaxClockDrift})
	}
	return controllers
}

func advanceController(c *simController, index int, now time.Time, store *fakeLeaseStore, partitioned bool, random *rand.Rand) []delayedOrder {
	local := c.localTime(now)
	if !partitioned {
		c.orderer.Step(local, store.lease)
	}
	c.orderer.Step(local, ModelObserved{Target: testTarget, State: ModelUnloaded})
	var orders []delayedOrder
	for _, e := range c.orderer.Tick(local) {
		if send, ok := e.(Send); ok {
			orders = append(orders, delayedOrder{at: now.Add(randomDelay(random)), from: index, send: send})
			continue
		}
		if partitioned {
			continue
		}
		if reply, ok := store.handle(c.orderer.config.HolderID, e, local); ok {
			c.orderer.Step(local, reply)
		}
	}
	return orders
}

// deliverOrders writes the orders that are due, unless their sender hangs. A sender that resumes after the deadline
// does not write its order. Written bytes take effect up to a send timeout later, whatever happens to the sender.
func deliverOrders(now time.Time, orders []delayedOrder, u *fakeUpstream, controllers []*simController, random *rand.Rand) []delayedOrder {
	var remaining []delayedOrder
	for _, order := range orders {
		c := controllers[order.from]
		switch {
		case now.Before(order.at) || (!order.written && now.Before(c.hungUntil)):
			remaining = append(remaining, order)
		case order.written:
			result := u.apply(order.send.FencingToken)
			c.orderer.Step(c.localTime(now), OrderReply{ID: order.send.ID, Result: result})
		case !c.localTime(now).After(order.send.Deadline):
			order.written = true
			order.at = now.Add(randomDelay(random))
			remaining = append(remaining, order)
		}
	}
	return remaining
}

func randomDelay(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(DefaultSendTimeout)))
}

func TestMatrix(t *testing.T) {
	t.Run("orders/send/hang-and-resume", func(t *testing.T) {
		withOrders, withTakeover := 0, 0
		for seed := range uint64(scheduleCount()) {
			tokens := runSchedule(seed, false)
			assert.Assert(t, slices.IsSorted(tokens), "seed %d: an order of an earlier lease took effect after one of a later lease: %v", seed, tokens)
			if len(tokens) > 0 {
				withOrders++
			}
			if len(slices.Compact(tokens)) > 1 {
				withTakeover++
			}
		}
		t.Logf("%d schedules, %d with orders, %d with orders of several holders", scheduleCount(), withOrders, withTakeover)
		// A schedule in which controllers hang all the time proves nothing, so most schedules must have orders and
		// takeovers.
		assert.Assert(t, withOrders*10 >= scheduleCount()*9)
		assert.Assert(t, withTakeover*2 >= scheduleCount())
	})
	t.Run("orders/send/late-message", func(t *testing.T) {
		u := &fakeUpstream{checksToken: true}
		assert.Equal(t, u.apply(5), ResultAccepted)
		o := New(Config{HolderID: "a"})
		o.Step(epoch, planFor(true, ModelLoaded))
		o.Step(epoch, LeaseReply{Granted: true, FencingToken: 4, SentAt: epoch})
		o.Step(epoch, ModelObserved{Target: testTarget, State: ModelUnloaded})
		send := firstSend(t, o.Tick(epoch))
		effects := o.Step(epoch, OrderReply{ID: send.ID, Result: u.apply(send.FencingToken)})
		assert.DeepEqual(t, effects, []Effect{CancelAll{}})
		_, holding := o.HeldLease(epoch)
		assert.Assert(t, !holding)
	})
	t.Run("orders/send/slow-link", func(t *testing.T) {
		// The worst case within the assumed limits: the old holder's last renewal is granted at once and gives the
		// latest end of the lease, its last order starts and is written as late as allowed, and its bytes take another
		// send timeout.
		old := New(Config{HolderID: "old"})
		old.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		lastStart := epoch
		for now := epoch; now.Before(epoch.Add(DefaultLeaseDuration)); now = now.Add(time.Millisecond) {
			if old.canSend(now, true) {
				lastStart = now
			}
		}
		slowClock := time.Duration(float64(lastStart.Sub(epoch)+DefaultSendTimeout) * (1 + DefaultMaxClockDrift))
		lastEffect := epoch.Add(slowClock + DefaultSendTimeout)
		successor := New(Config{HolderID: "new"})
		successor.Step(epoch, LeaseReply{Granted: true, FencingToken: 2, SentAt: epoch})
		for now := epoch; !now.After(lastEffect); now = now.Add(time.Millisecond) {
			successor.Step(now, LeaseReply{Granted: true, FencingToken: 2, SentAt: now})
			assert.Assert(t, !successor.canSend(now, false), "an order can be sent %v before the last effect of the previous holder", lastEffect.Sub(now))
		}
	})
	t.Run("orders/acquire/cut", func(t *testing.T) {
		o := New(Config{HolderID: "a"})
		o.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		_, holding := o.HeldLease(epoch.Add(DefaultLeaseDuration - 1))
		assert.Assert(t, holding)
		_, holding = o.HeldLease(epoch.Add(DefaultLeaseDuration))
		assert.Assert(t, !holding, "a controller that cannot renew must not hold the lease after its end")
	})
	t.Run("orders/acquire/late-message", func(t *testing.T) {
		o := New(Config{HolderID: "a"})
		o.Step(epoch.Add(4*time.Second), LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		_, holding := o.HeldLease(epoch.Add(DefaultLeaseDuration))
		assert.Assert(t, !holding, "the lease starts when its request was sent")
	})
	t.Run("orders/send/duplicate", func(t *testing.T) {
		o := New(Config{HolderID: "a"})
		o.Step(epoch, planFor(true, ModelLoaded))
		o.Step(epoch, LeaseReply{Granted: true, FencingToken: 1, SentAt: epoch})
		o.Step(epoch, ModelObserved{Target: testTarget, State: ModelUnloaded})
		send := firstSend(t, o.Tick(epoch))
		o.Step(epoch, OrderReply{ID: send.ID, Result: ResultAccepted})
		o.Step(epoch, OrderReply{ID: send.ID, Result: ResultFailed})
		o.Step(epoch, ModelObserved{Target: testTarget, State: ModelLoaded})
		for _, effect := range o.Tick(epoch.Add(3 * time.Second)) {
			_, isSend := effect.(Send)
			assert.Assert(t, !isSend, "an order was repeated although its state was reached")
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

// Guards against more concurrent loads than the bandwidth of the weight store allows.
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

// Guards against a plan that moves models between upstreams unnecessarily, which costs cold starts.
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

// Guards against unloading a model from several upstreams before gateways can learn of the first.
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
