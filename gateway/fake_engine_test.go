package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
)

func wantTokens(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("token-%d", i+1))
	}
	return list
}

// fakeEngine streams numbered tokens. If script returns true, it has handled the request instead.
type fakeEngine struct {
	mu       sync.Mutex
	requests []*http.Request
	draining bool
	script   func(w http.ResponseWriter, r *http.Request, attempt int) bool
	tokens   int
}

func (f *fleet) addEngine(zone, name string, script func(w http.ResponseWriter, r *http.Request, attempt int) bool) *fakeEngine {
	e := &fakeEngine{script: script, tokens: 5}
	f.addUpstream(zone, "engines", name, serverAddress(f.startServer(e.ServeHTTP).URL), 1)
	return e
}

// addStallingEngine adds an engine that sends two tokens and then waits until its call is cancelled, which closes the
// returned channel.
func (f *fleet) addStallingEngine(zone, name string) <-chan struct{} {
	cancelled := make(chan struct{})
	f.addEngine(zone, name, func(w http.ResponseWriter, r *http.Request, _ int) bool {
		sendTokens(w, 0, 2)
		<-r.Context().Done()
		close(cancelled)
		return true
	})
	return cancelled
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	draining := e.draining
	if r.URL.Path == "/health" || r.Method == http.MethodGet {
		e.mu.Unlock()
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"state":"leaving"}`)
		}
		return
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.requests = append(e.requests, r)
	attempt := len(e.requests)
	e.mu.Unlock()
	if e.script != nil && e.script(w, r, attempt) {
		return
	}
	if !bytes.Contains(body, []byte(`"stream":true`)) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"choices":[{"message":{"content":"whole"}}]}`)
		return
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(headerLastEvent), &after)
	sendTokens(w, after, e.tokens)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func sendTokens(w http.ResponseWriter, after, last int) {
	w.Header().Set("Content-Type", contentTypeEvents)
	for i := after + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i)
	}
	w.(http.Flusher).Flush()
}

// count returns the number of requests, other than GET requests, that reached the upstream.
func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// addPlainService adds a plain service to the VM list and counts its executions.
func (f *fleet) addPlainService(zone string, execute http.HandlerFunc) *fakeEngine {
	e := &fakeEngine{script: func(w http.ResponseWriter, r *http.Request, _ int) bool { execute(w, r); return true }}
	f.addUpstream(zone, "plain", "plain-"+zone, serverAddress(f.startServer(e.ServeHTTP).URL), 1)
	return e
}
