package main

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"sequoiaspread.example/sequoia/classifier"
)

// adminRoutes returns the routes for operators of the VM.
func (g *gateway) adminRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", g.serveReady)
	router.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	router.Get("/v1/explain/{request-id}", g.serveExplain)
	return router
}

// serveReady returns 503 until the configuration is ready, and again once a graceful drain has started.
func (g *gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.stopping.Load():
		writeProblem(w, newRefusal("check readiness", classifier.CauseStopping, ""), "", classifier.KeyStatusUnkeyed)
	case !g.config.ready():
		writeProblem(w, newRefusal("check readiness", classifier.CauseNotReady, ""), "", classifier.KeyStatusUnkeyed)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (g *gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "request-id")
	events, ok := g.explain.lookup(id)
	if !ok {
		writeProblem(w, newRefusal("explain request", classifier.CauseNotFound, "the request is not known here"), id, classifier.KeyStatusUnkeyed)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		RequestID string         `json:"request-id"`
		Steps     []requestEvent `json:"steps"`
	}{id, events})
}

// metrics holds the Prometheus metrics of this process.
type metrics struct {
	registry          *prometheus.Registry
	ended             *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	firstTokenSeconds *prometheus.HistogramVec
}

func newMetrics(g *gateway) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_requests_ended_total", Help: "Requests that ended, by cause of failure; an empty cause is an answer.",
		}, []string{"service", "rank", "cause", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_attempts_total", Help: "Requests sent to upstreams or other availability zones, by target zone.",
		}, []string{"service", "rank", "zone"}),
		firstTokenSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gateway_first_token_seconds", Help: "Time from the arrival of a streamed request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"service", "rank"}),
	}
	active := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gateway_requests_active", Help: "Requests in progress."},
		func() float64 { return float64(g.activeCount.Load()) })
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "gateway_events_dropped_total", Help: "Events that a full buffer refused."},
		func() float64 { return float64(g.events.Dropped() + g.droppedEvents.Load()) })
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gateway_configuration_version", Help: "Document version in force."},
		func() float64 {
			if env := g.environment.Load(); env != nil {
				return float64(env.version)
			}
			return 0
		})
	m.registry.MustRegister(m.ended, m.attempts, m.firstTokenSeconds, active, dropped, version)
	return m
}

func (m *metrics) record(event requestEvent) {
	switch event.Phase {
	case phaseSent:
		m.attempts.WithLabelValues(event.Service, event.Rank, event.Zone).Inc()
	case phaseFirstToken:
		m.firstTokenSeconds.WithLabelValues(event.Service, event.Rank).Observe(event.Elapsed.Seconds())
	case phaseEnded:
		m.ended.WithLabelValues(event.Service, event.Rank, event.Cause, event.Outcome).Inc()
	default:
	}
}
