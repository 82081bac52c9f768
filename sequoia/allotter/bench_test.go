package allotter

import (
	"testing"
	"time"
)

// Guards against a body that costs more than a few hundred nanoseconds, and shows what a search among many connections
// costs.
func BenchmarkReservation(b *testing.B) {
	b.Run("body", func(b *testing.B) {
		a, now := New(Config{Bytes: testBytes}), time.Now()
		for b.Loop() {
			r := a.Reserve(Caller("a"))
			r.SetReclaimable(now, nil)
			r.Grow(1000)
			r.Progress(1000)
			r.SetBusy()
			r.Release()
		}
	})
	b.Run("search", func(b *testing.B) {
		a, c := newTestAllotter(10_000)
		for range 10_000 {
			r := a.Reserve(Caller("a"))
			r.Grow(1)
			r.SetReclaimable(c.now, nil)
		}
		c.pass(minReclaimLag)
		for b.Loop() {
			r := a.Reserve(Caller("b"))
			r.Grow(1)
			r.Release()
			r = a.Reserve(Caller("a"))
			r.Grow(1)
			r.SetReclaimable(c.now.Add(-minReclaimLag), nil)
		}
	})
}
