package main

import "time"

// eventsKept bounds the cache events that a late reader can still get.
const eventsKept = 10_000

// cacheEvent says that a block was stored or removed.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    block  `json:"block"`
	at       time.Time
}

// eventLog holds cache events, which become visible late and of which some are missing.
type eventLog struct {
	lag    time.Duration
	gap    int
	last   uint64
	events []cacheEvent
}

func (l *eventLog) record(now time.Time, kind string, blocks []block) {
	for _, each := range blocks {
		l.last++
		if l.gap > 0 && l.last%uint64(l.gap) == 0 {
			continue
		}
		l.events = append(l.events, cacheEvent{Sequence: l.last, Kind: kind, Block: each, at: now})
	}
	if excess := len(l.events) - eventsKept; excess > 0 {
		l.events = l.events[excess:]
	}
}

// after returns the visible events with a higher sequence number.
func (l *eventLog) after(now time.Time, sequence uint64) []cacheEvent {
	visible := []cacheEvent{}
	for _, each := range l.events {
		if each.Sequence > sequence && !each.at.After(now.Add(-l.lag)) {
			visible = append(visible, each)
		}
	}
	return visible
}
