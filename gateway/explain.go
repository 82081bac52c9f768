package main

import "sync"

// explainedRequests bounds the requests whose steps are kept for operators.
const explainedRequests = 4096

// explainLog keeps the steps of the latest requests.
type explainLog struct {
	mu    sync.Mutex
	steps map[string][]requestEvent
	order []string
}

func newExplainLog() *explainLog {
	return &explainLog{steps: map[string][]requestEvent{}}
}

func (l *explainLog) take(event requestEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.steps[event.RequestID]; !ok {
		l.order = append(l.order, event.RequestID)
	}
	l.steps[event.RequestID] = append(l.steps[event.RequestID], event)
	if len(l.order) > explainedRequests {
		delete(l.steps, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *explainLog) find(requestID string) ([]requestEvent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps, ok := l.steps[requestID]
	return append([]requestEvent(nil), steps...), ok
}
