package main

import "time"

// maxEvents is the largest number of cache events that are kept for slow readers; the oldest are dropped first.
const maxEvents = 10_000

// cacheEvent records that a block was stored or removed.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    block  `json:"block"`
	at       time.Time
}

// eventLog holds cache events. They become visible after a delay, and every dropEvery-th event is lost.
type eventLog struct {
	delay        time.Duration
	dropEvery    int
	lastSequence uint64
	events       []cacheEvent
}

// record appends one event for each block, except for those that are lost.
func (l *eventLog) record(now time.Time, kind string, blocks []block) {
	for _, each := range blocks {
		l.lastSequence++
		if l.dropEvery > 0 && l.lastSequence%uint64(l.dropEvery) == 0 {
			continue
		}
		l.events = append(l.events, cacheEvent{Sequence: l.lastSequence, Kind: kind, Block: each, at: now})
	}
	if excess := len(l.events) - maxEvents; excess > 0 {
		l.events = l.events[excess:]
	}
}

// after returns the visible events with a higher sequence number than the given one.
func (l *eventLog) after(now time.Time, sequence uint64) []cacheEvent {
	visible := []cacheEvent{}
	for _, each := range l.events {
		if each.Sequence > sequence && !each.at.After(now.Add(-l.delay)) {
			visible = append(visible, each)
		}
	}
	return visible
}
