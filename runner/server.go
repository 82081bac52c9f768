package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
)

// Server is the HTTP interface of an engine.
type Server struct {
	engine           *Engine
	logger           logrus.FieldLogger
	registry         *prometheus.Registry
	running          prometheus.Gauge
	waiting          prometheus.Gauge
	cacheUsage       prometheus.Gauge
	rejectedDraining prometheus.Gauge
}

// kvPrefix is a cached prefix to export or import.
type kvPrefix struct {
	Prompt string  `json:"prompt,omitempty"`
	Blocks []block `json:"blocks"`
}

// modelList is the response with the list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one entry of a modelList.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// healthBody is the response of the health check.
type healthBody struct {
	State string `json:"state"`
}

// NewServer returns the HTTP interface of an engine.
func NewServer(engine *Engine, logger logrus.FieldLogger) *Server {
	s := &Server{engine: engine, logger: logger, registry: prometheus.NewRegistry()}
	s.running = s.gauge("engine_requests_running", "Requests in the batch.")
	s.waiting = s.gauge("engine_requests_waiting", "Requests in the queue.")
	s.cacheUsage = s.gauge("engine_cache_use_ratio", "Share of the KV memory in use.")
	s.rejectedDraining = s.gauge("engine_requests_refused_leaving", "Requests refused because the engine is leaving.")
	return s
}

func (s *Server) gauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	s.registry.MustRegister(gauge)
	return gauge
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/health", s.health)
	router.Get("/metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}).ServeHTTP)
	router.Get("/v1/models", s.models)
	router.Post("/v1/chat/completions", s.chat)
	router.Get("/v1/cache-events", s.cacheEvents)
	router.Post("/v1/orders", s.orders)
	router.Post("/v1/kv/export", s.exportKV)
	router.Post("/v1/kv/import", s.importKV)
	return router
}

// updateLoadMetrics updates the load metrics every LoadReportInterval, so that a reader sees values up to that age.
func (s *Server) updateLoadMetrics(ctx context.Context) {
	ticker := time.NewTicker(s.engine.config.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.engine.mu.Lock()
			s.running.Set(float64(len(s.engine.running)))
			s.waiting.Set(float64(len(s.engine.waiting)))
			used := s.engine.reservedTokens() + s.engine.cache.tokens()
			s.cacheUsage.Set(float64(used) / float64(s.engine.config.KVCapacityTokens))
			s.rejectedDraining.Set(float64(s.engine.rejectedDraining))
			s.engine.mu.Unlock()
		}
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.engine.mu.Lock()
	draining := s.engine.draining
	s.engine.mu.Unlock()
	switch {
	case draining:
		writeJSON(w, http.StatusServiceUnavailable, healthBody{State: "leaving"})
	case len(s.engine.Models()) == 0:
		writeJSON(w, http.StatusServiceUnavailable, healthBody{State: "loading"})
	default:
		writeJSON(w, http.StatusOK, healthBody{State: "live"})
	}
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range s.engine.Models() {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	s.engine.mu.Lock()
	events := s.engine.events.after(time.Now(), after)
	s.engine.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Events []cacheEvent `json:"events"`
	}{events})
}

func (s *Server) orders(w http.ResponseWriter, r *http.Request) {
	var request modelOrder
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		rejectionInvalidBody.write(w)
		return
	}
	if rejected := s.engine.Apply(context.WithoutCancel(r.Context()), request); rejected != nil {
		rejected.write(w)
		return
	}
	s.logger.WithFields(logrus.Fields{"order": request.OrderID, "fencing-number": request.FencingNumber}).Info("order applied")
	writeJSON(w, http.StatusOK, request)
}

// exportKV responds with the cached blocks of a prompt.
func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.transferKV(w, r, func(prefix kvPrefix) kvPrefix {
		blocks := newJob("", chatRequest{Messages: []chatMessage{{Content: json.RawMessage(prefix.Prompt)}}}).blocks
		return kvPrefix{Blocks: blocks[:s.engine.cache.cachedBlocks(blocks)]}
	})
}

// importKV adds blocks to the cache and responds with those that were new.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	s.transferKV(w, r, func(prefix kvPrefix) kvPrefix {
		added := s.engine.cache.add(prefix.Blocks)
		s.engine.events.record(time.Now(), "stored", added)
		return kvPrefix{Blocks: added}
	})
}

func (s *Server) transferKV(w http.ResponseWriter, r *http.Request, transfer func(kvPrefix) kvPrefix) {
	var prefix kvPrefix
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&prefix); err != nil {
		rejectionInvalidBody.write(w)
		return
	}
	s.engine.mu.Lock()
	result := transfer(prefix)
	s.engine.mu.Unlock()
	writeJSON(w, http.StatusOK, result)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
