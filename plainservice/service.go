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
	keyHeader = "Idempotency-Key"
	// lateAfter is the time within which callers must have stopped sending work to a service that is leaving.
	lateAfter = 3 * time.Second
)

// Config holds the settings of a Service.
type Config struct {
	VM          string
	HonoursKeys bool
	Delay       time.Duration
	// LeaveNotice is the time in the state leaving before the stop; calls are still executed in it.
	LeaveNotice time.Duration
	// Journal gets one JSON line for each execution, which outlives the process; it may be nil.
	Journal io.Writer
}

// Service executes any call and counts executions.
type Service struct {
	config  Config
	mu      sync.Mutex
	counts  counts
	replies map[string]reply
	faults  faults
	leaving time.Time
}

// counts are the executions so far.
type counts struct {
	Keys  map[string]int `json:"keys"`
	Paths map[string]int `json:"paths"`
	// Late counts executions that began more than lateAfter after the service stated that it is leaving.
	Late int `json:"late"`
}

// reply is the answer to an executed call.
type reply struct {
	VM        string `json:"vm"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Execution int    `json:"execution"`
}

// execution is one line of the journal.
type execution struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	VM   string `json:"vm"`
	Late bool   `json:"late"`
}

// faults are the faults that the next calls meet.
type faults struct {
	LoseNext   int   `json:"lose-next"`
	RefuseNext int   `json:"refuse-next"`
	DelayMS    int64 `json:"delay-ms"`
}

// New returns a service that has executed nothing.
func New(config Config) *Service {
	return &Service{
		config:  config,
		counts:  counts{Keys: map[string]int{}, Paths: map[string]int{}},
		replies: map[string]reply{},
	}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/health", s.health)
	router.Get("/counts", s.serveCounts)
	router.Post("/faults", s.setFaults)
	router.HandleFunc("/*", s.execute)
	return router
}

// Leave states that the service is leaving, and returns after the notice.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = time.Now()
	s.mu.Unlock()
	time.Sleep(s.config.LeaveNotice)
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !s.leaving.IsZero() {
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
	var wanted faults
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = wanted
	s.mu.Unlock()
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	if s.refuses() {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	answer, lose, delay := s.count(r)
	time.Sleep(delay)
	if lose {
		// Ends the connection after the execution, as a crash before the reply does.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer)
}

func (s *Service) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseNext == 0 {
		return false
	}
	s.faults.RefuseNext--
	return true
}

func (s *Service) count(r *http.Request) (answer reply, lose bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(keyHeader)
	delay = s.config.Delay + time.Duration(s.faults.DelayMS)*time.Millisecond
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		lose = true
	}
	if earlier, ok := s.replies[key]; ok && s.config.HonoursKeys && key != "" {
		return earlier, lose, delay
	}
	late := !s.leaving.IsZero() && time.Since(s.leaving) > lateAfter
	if late {
		s.counts.Late++
	}
	path := r.Method + " " + r.URL.Path
	s.counts.Paths[path]++
	s.journal(execution{Key: key, Path: path, VM: s.config.VM, Late: late})
	answer = reply{VM: s.config.VM, Key: key, Method: r.Method, Path: r.URL.Path, Execution: 1}
	if key != "" {
		s.counts.Keys[key]++
		answer.Execution = s.counts.Keys[key]
		s.replies[key] = answer
	}
	return answer, lose, delay
}

// journal records an execution; a service that cannot count its executions must not go on.
func (s *Service) journal(line execution) {
	if s.config.Journal == nil {
		return
	}
	if err := json.NewEncoder(s.config.Journal).Encode(line); err != nil {
		panic(err)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
