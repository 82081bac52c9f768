package main

import "sync"

// maxExplainedRequests limits the number of requests whose events are kept for operators.
const maxExplainedRequests = 4096

// explainLog keeps the events of the most recent requests.
type explainLog struct {
	mu         sync.Mutex
	events     map[string][]requestEvent
	requestIDs []string
}

func newExplainLog() *explainLog {
	return &explainLog{events: map[string][]requestEvent{}}
}

func (l *explainLog) record(event requestEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.events[event.RequestID]; !ok {
		l.requestIDs = append(l.requestIDs, event.RequestID)
	}
	l.events[event.RequestID] = append(l.events[event.RequestID], event)
	if len(l.requestIDs) > maxExplainedRequests {
		delete(l.events, l.requestIDs[0])
		l.requestIDs = l.requestIDs[1:]
	}
}

func (l *explainLog) lookup(requestID string) ([]requestEvent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, ok := l.events[requestID]
	return append([]requestEvent(nil), events...), ok
}
