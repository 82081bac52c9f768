package allotter

import (
	"strconv"
	"testing"
	"time"
)

// Guards against a body that costs more than a few hundred nanoseconds, and shows what a search among many connections
// costs.
func BenchmarkReservation(b *testing.B) {
	b.Run("body", func(b *testing.B) {
		a, now := New(Config{Bytes: testBytes}), time.Now()
		a.Reserve(Caller("a")).Grow(1000)
		for b.Loop() {
			r := a.Reserve(Caller("a"))
			r.SetReclaimable(now, nil)
			r.Grow(1000)
			r.Progress(1000)
			r.SetBusy()
			r.Release()
		}
	})
	for name, holder := range map[string]func(i int) Holder{
		"search, one holder": func(int) Holder { return Caller("a") },
		"search, holders":    func(i int) Holder { return Caller(strconv.Itoa(i % 10_000)) },
	} {
		b.Run(name, func(b *testing.B) {
			a, c := newTestAllotter(10_000)
			i := 0
			add := func() {
				r := a.Reserve(holder(i))
				i++
				r.Grow(1)
				r.SetReclaimable(c.now, nil)
				c.pass(time.Millisecond)
			}
			for range 10_000 {
				add()
			}
			for b.Loop() {
				add()
			}
		})
	}
}
