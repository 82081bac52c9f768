package answerer

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of requests and connections.
type Metrics struct {
	requests *prometheus.CounterVec
	sends    prometheus.Counter
	// omittedLines counts the answered requests without a log entry.
	omittedLines prometheus.Counter
	durations    *prometheus.HistogramVec
	// units counts those that organisations with a rate limit took or were refused; shares are those in force here.
	units  *prometheus.CounterVec
	shares *prometheus.GaugeVec
	// Connections counts new connections to upstreams and entry VMs.
	Connections prometheus.Counter
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_requests_total", Help: "Requests by service, status and cause.",
		}, []string{"service", "status", "cause"}),
		sends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoia_sends_total", Help: "Sends to upstreams and to entry VMs of other regions.",
		}),
		omittedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoia_request_lines_omitted_total", Help: "Answered requests without a log line, because of its limit.",
		}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sequoia_request_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"service"}),
		units: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_quota_units_total", Help: "Units of rate limits by organisation and result, for a bounded number of organisations.",
		}, []string{"organisation", "result"}),
		shares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sequoia_quota_share", Help: "Share of the leased part of a rate limit that is in force at this VM.",
		}, []string{"organisation"}),
		Connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoia_connections_total", Help: "New connections to upstreams and entry VMs.",
		}),
	}
	registry.MustRegister(m.requests, m.sends, m.omittedLines, m.durations, m.units, m.shares, m.Connections)
	return m
}

func (m *Metrics) observe(j *job, duration time.Duration) {
	m.requests.WithLabelValues(j.service, strconv.Itoa(j.outcome.status), j.outcome.cause).Inc()
	m.sends.Add(float64(j.sends))
	m.durations.WithLabelValues(j.service).Observe(duration.Seconds())
}
