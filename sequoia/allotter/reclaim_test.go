package allotter

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clock is the time of a test.
type clock struct{ now time.Time }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func newTestAllotter(bytes int64) (*Allotter, *clock) {
	c := &clock{now: time.Unix(1e9, 0)}
	return New(Config{Bytes: bytes, Now: func() time.Time { return c.now }}), c
}

// waiting returns a reclaimable reservation, and whether its function was called.
func waiting(t *testing.T, a *Allotter, c *clock, holder Holder, bytes int64) (*Reservation, *bool) {
	t.Helper()
	r, called := a.Reserve(holder), new(bool)
	assert.Assert(t, r.Grow(bytes))
	r.SetReclaimable(c.now, func() {
		assert.Assert(t, !*called, "called twice")
		// This blocks if the lock is held.
		a.Used()
		*called = true
	})
	return r, called
}

// Guards against a stalled body that keeps its memory from others, and against one that arrives at the rate and loses it.
func TestStalledReservationMakesRoom(t *testing.T) {
	a, c := newTestAllotter(3 * SmallBytes)
	stalled, stalledCalled := waiting(t, a, c, Caller("a"), SmallBytes)
	steady, steadyCalled := waiting(t, a, c, Caller("b"), SmallBytes)
	busy, busyCalled := waiting(t, a, c, Caller("c"), SmallBytes)
	assert.Assert(t, busy.SetBusy())
	other := a.Reserve(Caller("d"))
	c.pass(MinReclaimLag - 1)
	steady.Progress(ReclaimRate)
	assert.Assert(t, !other.Grow(SmallBytes), "a lag below the limit was reclaimed")
	c.pass(1)
	assert.Assert(t, other.Grow(SmallBytes))
	c.pass(time.Hour)
	steady.Progress(3600 * ReclaimRate)
	assert.Assert(t, !a.Reserve(Caller("e")).Grow(1))
	assert.Assert(t, *stalledCalled && !*steadyCalled && !*busyCalled)
	assert.Assert(t, !stalled.SetBusy() && !stalled.Grow(1) && !stalled.Grow(0))
	assert.Assert(t, steady.SetBusy())
	stalled.Release()
	assert.Equal(t, a.Used(), int64(3*SmallBytes))
}

// Guards against a reservation that is marked some time after its wait began, and is reclaimed late for that.
func TestReservationMarkedLateIsReclaimedInTime(t *testing.T) {
	a, c := newTestAllotter(2 * SmallBytes)
	late, lateCalled := waiting(t, a, c, Caller("a"), SmallBytes)
	recent, _ := waiting(t, a, c, Caller("b"), SmallBytes)
	began := c.now
	c.pass(MinReclaimLag / 2)
	recent.SetReclaimable(c.now, nil)
	other := a.Reserve(Caller("c"))
	assert.Assert(t, !other.Grow(1), "nothing has waited for long")
	call := late.onReclaim
	assert.Assert(t, late.SetBusy())
	late.SetReclaimable(began, call)
	c.pass(MinReclaimLag / 2)
	assert.Assert(t, other.Grow(1))
	assert.Assert(t, *lateCalled)
}

// Guards against a holder of few stalled reservations that loses them to one of many, and against an order other than
// that of the lags.
func TestLargestHolderIsReclaimedFirst(t *testing.T) {
	a, c := newTestAllotter(100)
	_, few := waiting(t, a, c, Caller("few"), 30)
	c.pass(time.Millisecond)
	_, first := waiting(t, a, c, Caller("many"), 25)
	c.pass(time.Millisecond)
	_, second := waiting(t, a, c, Caller("many"), 25)
	busy := a.Reserve(Upstream("busy"))
	assert.Assert(t, busy.Grow(20))
	c.pass(time.Hour)
	assert.Assert(t, a.Reserve(Caller("x")).Grow(20))
	assert.Assert(t, *first && !*second && !*few)
	assert.Assert(t, a.Reserve(Caller("y")).Grow(20))
	assert.Assert(t, *few && !*second, "what holders use is not computed anew")
	assert.Assert(t, !a.Reserve(Caller("z")).Grow(60))
	assert.Assert(t, !*second, "a reservation was reclaimed in vain")
}

// Guards against a holder whose share is used up and that takes the memory of others, which does not help it.
func TestShareOfHolderIsReclaimedFromIt(t *testing.T) {
	a, c := newTestAllotter(testBytes)
	_, other := waiting(t, a, c, Caller("other"), 4<<20)
	_, small := waiting(t, a, c, Upstream("u"), SmallBytes)
	_, own := waiting(t, a, c, Upstream("u"), 4<<20)
	kept := a.Reserve(Upstream("u"))
	assert.Assert(t, kept.Grow(4<<20))
	c.pass(time.Hour)
	assert.Assert(t, a.Reserve(Upstream("u")).Grow(4<<20))
	assert.Assert(t, *own && !*other && !*small)
	assert.Assert(t, !a.Reserve(Upstream("u")).Grow(4<<20))
	assert.Assert(t, !*other && !*small)
}

// Guards against a pause of the process that counts as a stall of its callers, and against a growing reservation that
// displaces others although it has the largest lag.
func TestPauseAndOwnLag(t *testing.T) {
	a, c := newTestAllotter(100)
	slow, slowCalled := waiting(t, a, c, Caller("a"), 60)
	c.pass(time.Hour)
	_, other := waiting(t, a, c, Caller("b"), 40)
	a.RestartLags(c.now)
	assert.Assert(t, !slow.Grow(61) && slow.SetBusy())
	slow.SetReclaimable(c.now.Add(-time.Minute), func() { *slowCalled = true })
	c.pass(time.Hour)
	assert.Assert(t, !slow.Grow(61) && !slow.SetBusy())
	assert.Assert(t, !*slowCalled && !*other)
	assert.Equal(t, a.Used(), int64(40))
}

// Guards against a body that arrives fast, stalls and keeps its memory for as long as it is ahead, against one that loses
// it after a short stall, and against a reclaimed body that counts as broken by its caller.
func TestBodyThatStallsNearItsEndIsReclaimed(t *testing.T) {
	const size = 1 << 20
	a, c := newTestAllotter(2 * size)
	r := a.Reserve(Caller("a"))
	r.SetReclaimable(c.now, nil)
	sent := strings.NewReader(strings.Repeat("x", size-1))
	body := readerFunc(func(buffer []byte) (int, error) {
		if sent.Len() > 0 {
			return sent.Read(buffer[:min(len(buffer), 32<<10)])
		}
		c.pass(MaxAhead + MinReclaimLag - time.Millisecond)
		other := a.Reserve(Caller("b"))
		assert.Assert(t, !other.Grow(size))
		c.pass(time.Millisecond)
		assert.Assert(t, other.Grow(size))
		return 0, errors.New("closed")
	})
	_, err := r.ReadAll(body, size, size)
	assert.ErrorContains(t, err, string(KindNoMemory))
	assert.Assert(t, !r.SetBusy())
}

type readerFunc func(buffer []byte) (int, error)

func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

// Guards against sums that drift from the reservations, and against limits that reclaiming exceeds.
func TestReclaimKeepsTheSums(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 0))
	a, c := newTestAllotter(testBytes)
	holders := []Holder{Caller("a"), Caller("b"), Caller("c"), Upstream("a"), Upstream("b")}
	all := make([]*Reservation, 200)
	for i := range all {
		all[i] = a.Reserve(holders[random.IntN(len(holders))])
	}
	reclaimed := 0
	for range 20_000 {
		c.pass(time.Duration(random.IntN(50)) * time.Millisecond)
		i := random.IntN(len(all))
		r := all[i]
		switch random.IntN(6) {
		case 0:
			r.Release()
		case 1:
			r.SetReclaimable(c.now, func() { reclaimed++ })
		case 2:
			r.SetBusy()
		case 3:
			r.Progress(random.IntN(ReclaimRate))
		default:
			r.Grow(random.Int64N([]int64{SmallBytes, 4 << 20}[random.IntN(2)]))
		}
		if r.reclaimed {
			r.Release()
			all[i] = a.Reserve(r.holder)
		}
		var used, large int64
		for _, r := range all {
			used, large = used+r.bytes, large+largeBytes(r.bytes)
		}
		assert.Equal(t, a.used, used)
		assert.Equal(t, a.largeUsed, large)
		assert.Assert(t, used <= testBytes && large <= a.share(largeShare))
	}
	assert.Assert(t, reclaimed > 100, "%d", reclaimed)
	for _, r := range all {
		r.Release()
	}
	assert.Equal(t, len(a.holders), 0)
	assert.Equal(t, a.reclaimable.next, &a.reclaimable)
}

// Guards against a response that is read fast, then not at all, and keeps its memory for as long as it is ahead.
func TestProgressGetsNoFurtherAheadThanALimit(t *testing.T) {
	const size = 32 << 20
	a, c := newTestAllotter(100)
	fast, called := waiting(t, a, c, Caller("a"), 100)
	for range size / 4096 {
		fast.Progress(4096)
	}
	other := a.Reserve(Caller("b"))
	c.pass(MaxAhead + MinReclaimLag - time.Millisecond)
	assert.Assert(t, !other.Grow(1) && !*called)
	c.pass(time.Millisecond)
	assert.Assert(t, other.Grow(1) && *called)
}
