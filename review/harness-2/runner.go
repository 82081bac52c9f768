package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runner is a stand-in for a runner. Each start is a new lifetime, at the same address and with the ID that it had.
type Runner struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Plain is set for a runner that holds no models.
	Plain bool
	// ColdTime is how long the runner is cold after a start, apart from the first.
	ColdTime time.Duration
	// Run handles a request that runs here. The context ends when the client of the runner leaves or the runner crashes.
	Run func(ctx context.Context, life Lifetime, w http.ResponseWriter, r *http.Request)

	mu     sync.Mutex
	life   Lifetime
	server *http.Server
	conns  map[net.Conn]bool
	// running is the number of requests that run in this lifetime, and tokens the memory that they use.
	running, tokens int
}

// Lifetime is one lifetime of a runner.
type Lifetime struct {
	Number  int
	Version string
	Born    time.Time
}

// Start begins a lifetime with a version of the software.
func (r *Runner) Start(version string) error {
	socket, err := net.Listen("tcp", r.Address)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life = Lifetime{Number: r.life.Number + 1, Version: version, Born: time.Now()}
	life := r.life
	r.running, r.tokens = 0, 0
	r.conns = map[net.Conn]bool{}
	conns := r.conns
	r.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(life, w, q) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if state == http.StateNew {
				conns[c] = true
			}
			if state == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	server := r.server
	go func() { _ = server.Serve(socket) }()
	return nil
}

// Crash ends the lifetime: all channels are reset, and the port takes no more.
func (r *Runner) Crash() {
	r.mu.Lock()
	server, conns := r.server, r.conns
	var open []net.Conn
	for c := range conns {
		open = append(open, c)
	}
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	for _, c := range open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
}

// Lifetime returns the current lifetime.
func (r *Runner) Lifetime() Lifetime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// Entry returns the entry in the platform's list, in a state.
func (r *Runner) Entry(state string) Entry {
	life := r.Lifetime()
	entry := Entry{
		ID: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: life.Version, Slots: r.Slots, State: state,
		Born: life.Born.UnixMilli(),
	}
	entry.ColdUntil = r.coldUntil(life)
	if !r.Plain {
		entry.Stage, entry.Models = "both", models()
	}
	return entry
}

// coldUntil returns when a lifetime becomes warm; the first begins without traffic.
func (r *Runner) coldUntil(life Lifetime) time.Time {
	if life.Number == 1 {
		return time.Time{}
	}
	return life.Born.Add(r.ColdTime)
}

func models() []any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

func (r *Runner) serve(life Lifetime, w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/report":
		r.mu.Lock()
		running, tokens := r.running, r.tokens
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": models(), "busy": false, "seq_no": 0, "queued": 0, "running": running, "kv_used": tokens,
			"kv_total": 246518, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "born": life.Born.UnixMilli(),
		})
		return
	case "/health":
		w.Header().Set("Instance-Id", r.ID)
		w.Header().Set("Cold-Ms", strconv.FormatInt(max(0, time.Until(r.coldUntil(life)).Milliseconds()), 10))
		return
	}
	attempt := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	target := q.Header.Get("Target-Instance")
	switch {
	case target != "" && target != r.ID:
		reject(w, http.StatusMisdirectedRequest)
		return
	case attempt == "":
		reject(w, http.StatusBadRequest)
		return
	}
	in, out, _ := strings.Cut(q.Header.Get("Token-Count"), ",")
	tokensIn, _ := strconv.Atoi(in)
	tokensOut, _ := strconv.Atoi(out)
	if !r.admit(life, tokensIn+tokensOut) {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer r.release(life, tokensIn+tokensOut)
	w.Header().Set("Response-Seal", "seal-"+r.ID)
	if tokensIn > 0 {
		w.Header().Set("Weight-Versions", "1")
	}
	r.Run(q.Context(), life, w, q)
}

// reject ends a request that did not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// admit takes a slot, and reports whether there was one.
func (r *Runner) admit(life Lifetime, tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life.Number != life.Number || r.running >= r.Slots {
		return false
	}
	r.running++
	r.tokens += tokens
	return true
}

func (r *Runner) release(life Lifetime, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life.Number == life.Number {
		r.running--
		r.tokens -= tokens
	}
}
