package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
	// lateThreshold is the time after the start of a drain within which callers must have stopped sending calls.
	lateThreshold = 3 * time.Second
)

// Config holds the settings of a Service.
type Config struct {
	VM                     string
	HonoursIdempotencyKeys bool
	Delay                  time.Duration
	// DrainTime is how long the service drains before it stops. Calls are still executed in that time.
	DrainTime time.Duration
	// Journal receives one JSON line for each execution, so that the record outlives the process. It may be nil.
	Journal io.Writer
}

// Service executes calls on any path and counts the executions.
type Service struct {
	config     Config
	mu         sync.Mutex
	counts     counts
	responses  map[string]callResponse
	faults     faults
	drainStart time.Time
}

// counts holds the number of executions so far, by idempotency key and by path.
type counts struct {
	Keys  map[string]int `json:"keys"`
	Paths map[string]int `json:"paths"`
	// Late counts executions that started more than lateThreshold after the start of the drain.
	Late int `json:"late"`
}

// callResponse is the response to an executed call.
type callResponse struct {
	VM        string `json:"vm"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Execution int    `json:"execution"`
}

// journalEntry is one line of the journal.
type journalEntry struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	VM   string `json:"vm"`
	Late bool   `json:"late"`
}

// faults configures the faults of the next calls.
type faults struct {
	LoseNext   int   `json:"lose-next"`
	RefuseNext int   `json:"refuse-next"`
	DelayMS    int64 `json:"delay-ms"`
}

// New returns a service without any executions.
func New(config Config) *Service {
	return &Service{
		config:    config,
		counts:    counts{Keys: map[string]int{}, Paths: map[string]int{}},
		responses: map[string]callResponse{},
	}
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/health", s.health)
	router.Get("/counts", s.serveCounts)
	router.Post("/faults", s.setFaults)
	router.HandleFunc("/*", s.execute)
	return router
}

// Drain makes the health check report that the service is leaving, and returns after DrainTime.
func (s *Service) Drain() {
	s.mu.Lock()
	s.drainStart = time.Now()
	s.mu.Unlock()
	time.Sleep(s.config.DrainTime)
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !s.drainStart.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"state":"leaving"}`)
		return
	}
	_, _ = io.WriteString(w, `{"state":"live"}`)
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var next faults
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = next
	s.mu.Unlock()
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	if s.takeRefusal() {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	response, dropResponse, delay := s.recordCall(r)
	time.Sleep(delay)
	if dropResponse {
		// Closes the connection after the execution, as a crash before the response would.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, response)
}

// takeRefusal reports whether to refuse the current call, and uses up one of the configured refusals.
func (s *Service) takeRefusal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseNext == 0 {
		return false
	}
	s.faults.RefuseNext--
	return true
}

// recordCall counts the execution of a call, unless its response is repeated for a known idempotency key. It returns
// the response, whether to drop it, and the delay before it.
func (s *Service) recordCall(r *http.Request) (response callResponse, dropResponse bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(idempotencyKeyHeader)
	delay = s.config.Delay + time.Duration(s.faults.DelayMS)*time.Millisecond
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		dropResponse = true
	}
	if previous, ok := s.responses[key]; ok && s.config.HonoursIdempotencyKeys && key != "" {
		return previous, dropResponse, delay
	}
	late := !s.drainStart.IsZero() && time.Since(s.drainStart) > lateThreshold
	if late {
		s.counts.Late++
	}
	path := r.Method + " " + r.URL.Path
	s.counts.Paths[path]++
	s.appendJournal(journalEntry{Key: key, Path: path, VM: s.config.VM, Late: late})
	response = callResponse{VM: s.config.VM, Key: key, Method: r.Method, Path: r.URL.Path, Execution: 1}
	if key != "" {
		s.counts.Keys[key]++
		response.Execution = s.counts.Keys[key]
		s.responses[key] = response
	}
	return response, dropResponse, delay
}

// appendJournal writes an entry to the journal. It panics on a write error, so that no call is answered whose execution
// is missing from the journal.
func (s *Service) appendJournal(entry journalEntry) {
	if s.config.Journal == nil {
		return
	}
	if err := json.NewEncoder(s.config.Journal).Encode(entry); err != nil {
		panic(err)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
