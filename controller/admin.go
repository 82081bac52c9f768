package main

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sequoiaspread.example/sequoia/replicator"
)

const metricPrefix = "sequoiaspread_controller_"

func (n *node) adminRoutes() http.Handler {
	registry := n.newMetricsRegistry()
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return router
}

// ready reports whether this node is a member of the consensus group, knows a leader and enforces a document.
func (n *node) ready() bool {
	return n.consensus.Status().Leader != "" && !n.retired.Load() && n.consensus.IsMember() && n.enforcedVersion() > 0
}

func (n *node) newMetricsRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(n.collectors...)
	gauge := func(name, help string, read func(replicator.Status) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: metricPrefix + name, Help: help},
			func() float64 { return read(n.consensus.Status()) },
		))
	}
	gauge("term", "Term of the agreement.", func(s replicator.Status) float64 { return float64(s.Term) })
	gauge("commit_index", "Last committed index of the log.", func(s replicator.Status) float64 { return float64(s.Commit) })
	gauge("last_index", "Last index of the log.", func(s replicator.Status) float64 { return float64(s.LastIndex) })
	gauge("voters", "Voters of the agreement.", func(s replicator.Status) float64 { return float64(len(s.Membership.Voters)) })
	gauge("leader", "1 on the leader of the agreement.", func(s replicator.Status) float64 { return boolToFloat(s.Role == replicator.RoleLeader) })
	gauge("document_version", "Document version in force.", func(replicator.Status) float64 { return float64(n.enforcedVersion()) })
	return registry
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
