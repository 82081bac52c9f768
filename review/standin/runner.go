package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	runnerSlots = 6
	runnerQueue = 24
	// eventPause is the usual time between two events of a stream.
	eventPause = 60 * time.Millisecond
)

// run is one request that a runner began to work on.
type run struct {
	id, path, runner, version string
	zone                      string
	at                        time.Time
	lastEvent                 string
}

// runner is a stand-in for a runner. It serves one request at a time on a channel, answers 421 to requests for another
// one, and 503 with Not-Executed when it is full.
type runner struct {
	fleet   *fleet
	entry   instance
	region  string
	work    time.Duration
	events  int
	pause   time.Duration
	poison  func(r *http.Request, body string) bool
	firstID string
	newID   bool
	downFor time.Duration

	mu      sync.Mutex
	server  *http.Server
	conns   map[net.Conn]bool
	starts  int
	busy    int
	waiting int
	runs    []run
	crashes []time.Time
}

func (f *fleet) addRunner(host int, region, service, version string, work time.Duration) *runner {
	r := &runner{fleet: f, region: region, work: work, conns: map[net.Conn]bool{}, downFor: 2 * time.Second, pause: eventPause}
	r.entry = instance{
		ID: fmt.Sprintf("i-%s-%d", service, host), Service: service, Address: f.address(host, portRunner), Zone: zoneOf(region),
		Version: version, Slots: runnerSlots, State: "ready",
	}
	r.firstID = r.entry.ID
	f.runners = append(f.runners, r)
	return r
}

// start starts a lifetime of the runner and lists it.
func (r *runner) start() error {
	socket, err := net.Listen("tcp", r.entry.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	first := r.starts == 1
	if !first && r.newID {
		r.entry.ID = fmt.Sprintf("%s-%d", r.firstID, r.starts)
	}
	r.entry.Born = time.Now().UnixMilli()
	entry := r.entry
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.track}
	server := r.server
	r.busy, r.waiting = 0, 0
	r.mu.Unlock()
	go func() { _ = server.Serve(socket) }()
	if first {
		r.fleet.list.add(entry)
	} else {
		r.fleet.list.update(entry.Address, func(listed *instance) { *listed = entry })
	}
	r.fleet.record.note("runner %s starts at %s, service %s, version %s", entry.ID, entry.Zone, entry.Service, entry.Version)
	return nil
}

func (r *runner) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(r.conns, conn)
		return
	}
	r.conns[conn] = true
}

// crash resets all channels; the runner is back after some seconds.
func (r *runner) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	conns := r.conns
	r.conns = map[net.Conn]bool{}
	id := r.entry.ID
	if server != nil {
		r.crashes = append(r.crashes, time.Now())
	}
	r.mu.Unlock()
	if server == nil {
		return
	}
	r.fleet.record.note("runner %s crashes", id)
	for conn := range conns {
		if socket, ok := conn.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(r.downFor, func() {
		if err := r.start(); err != nil {
			r.fleet.record.note("runner %s does not start: %v", id, err)
		}
	})
}

func (r *runner) identity() (id, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.ID, r.entry.Version
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	id, version := r.identity()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch request.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", id)
		return
	case "/report":
		r.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "seq_no": 0, "queued": r.waiting, "running": r.busy,
			"kv_used": 0, "kv_total": 0, "handles": 0, "born": r.entry.Born,
		}
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if target := request.Header.Get("Target-Instance"); target != "" && target != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(request.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(request.Context(), deadline)
	defer cancel()
	if !r.admit(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	r.begin(run{
		id: attempt, path: request.URL.Path, runner: id, version: version, zone: r.entry.Zone, at: time.Now(),
		lastEvent: request.Header.Get("Last-Event-Id"),
	})
	if r.poison != nil && r.poison(request, string(body)) {
		r.crash()
		return
	}
	w.Header().Set("Response-Seal", "seal."+attempt+"."+id)
	if r.events > 0 {
		r.stream(ctx, w, request, attempt, version)
		return
	}
	select {
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-time.After(r.work):
		_, _ = io.WriteString(w, "answer to "+attempt+" by "+id)
	}
}

// admit waits for a slot and reports whether there was one.
func (r *runner) admit(ctx context.Context) bool {
	r.mu.Lock()
	if r.busy >= r.entry.Slots && r.waiting >= runnerQueue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	for {
		r.mu.Lock()
		if r.busy < r.entry.Slots {
			r.busy++
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = max(0, r.busy-1)
}

func (r *runner) begin(begun run) {
	r.mu.Lock()
	r.runs = append(r.runs, begun)
	r.mu.Unlock()
	r.fleet.record.note("run %s %s at %s (%s, version %s) after event %q", begun.id, begun.path, begun.runner, begun.zone, begun.version, begun.lastEvent)
}

// stream sends the events after the last one that the caller has. Each event names the version that made it.
func (r *runner) stream(ctx context.Context, w http.ResponseWriter, request *http.Request, attempt, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for number := last + 1; number <= r.events; number++ {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-time.After(r.pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, version); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}

func (r *runner) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.runs...)
}

func (r *runner) allCrashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time{}, r.crashes...)
}
