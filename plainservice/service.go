package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const keyHeader = "Idempotency-Key"

// Config holds the settings of a Service.
type Config struct {
	HonoursKeys bool
	Delay       time.Duration
}

// Service executes any call and counts executions.
type Service struct {
	config  Config
	mu      sync.Mutex
	counts  counts
	replies map[string]reply
	faults  faults
}

// counts are the executions so far.
type counts struct {
	Keys  map[string]int `json:"keys"`
	Paths map[string]int `json:"paths"`
}

// reply is the answer to an executed call.
type reply struct {
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Execution int    `json:"execution"`
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
	router.Get("/health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, map[string]string{"state": "live"}) })
	router.Get("/counts", s.serveCounts)
	router.Post("/faults", s.setFaults)
	router.HandleFunc("/*", s.execute)
	return router
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
	s.counts.Paths[r.Method+" "+r.URL.Path]++
	answer = reply{Key: key, Method: r.Method, Path: r.URL.Path, Execution: 1}
	if key != "" {
		s.counts.Keys[key]++
		answer.Execution = s.counts.Keys[key]
		s.replies[key] = answer
	}
	return answer, lose, delay
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
