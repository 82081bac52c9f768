package measurer

import (
	"container/heap"
	"time"
)

// event is a function to run at a time of the virtual clock.
type event struct {
	at       time.Duration
	sequence int // orders events of the same time by insertion
	run      func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
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
func (sim *simulation) schedule(at time.Duration, run func(now time.Duration)) {
	sim.lastSequence++
	heap.Push(&sim.events, event{at: at, sequence: sim.lastSequence, run: run})
}

// every runs a function at each multiple of a period until the simulation ends.
func (sim *simulation) every(period time.Duration, run func(now time.Duration)) {
	var repeat func(now time.Duration)
	repeat = func(now time.Duration) {
		run(now)
		sim.schedule(now+period, repeat)
	}
	sim.schedule(period, repeat)
}

// runUntil runs all events up to a time of the virtual clock.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		e.run(e.at)
	}
}
