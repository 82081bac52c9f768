package measurer

import (
	"container/heap"
	"time"
)

// event is something to do at a time of the virtual clock.
type event struct {
	at    time.Duration
	order int // events of the same time run in the order in which they were added
	run   func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// schedule runs a function at a time of the virtual clock.
func (w *world) schedule(at time.Duration, run func(now time.Duration)) {
	w.order++
	heap.Push(&w.events, event{at: at, order: w.order, run: run})
}

// every runs a function at each multiple of a period until the end.
func (w *world) every(period time.Duration, run func(now time.Duration)) {
	var again func(now time.Duration)
	again = func(now time.Duration) {
		run(now)
		w.schedule(now+period, again)
	}
	w.schedule(period, again)
}

// play runs all events until the end.
func (w *world) play(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		e.run(e.at)
	}
}
