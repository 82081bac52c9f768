package main

import "sync"

// maxExplainedRequests limits the number of requests whose events are kept for operators.
const maxExplainedRequests = 4096

// explainLog keeps the events of the most recent requests.
type explainLog struct {
	mu         sync.Mutex
	steps      map[string][]requestEvent
	requestIDs []string
}

func newExplainLog() *explainLog {
	return &explainLog{steps: map[string][]requestEvent{}}
}

func (l *explainLog) record(event requestEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.steps[event.RequestID]; !ok {
		l.requestIDs = append(l.requestIDs, event.RequestID)
	}
	l.steps[event.RequestID] = append(l.steps[event.RequestID], event)
	if len(l.requestIDs) > maxExplainedRequests {
		delete(l.steps, l.requestIDs[0])
		l.requestIDs = l.requestIDs[1:]
	}
}

func (l *explainLog) lookup(requestID string) ([]requestEvent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps, ok := l.steps[requestID]
	return append([]requestEvent(nil), steps...), ok
}
