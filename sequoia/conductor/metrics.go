package conductor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sequoiaspread.example/sequoia/messenger"
)

// Results of fetches, the label values of the metric.
const (
	fetchComplete = "complete"
	fetchFailed   = "failed"
)

// Metrics holds the Prometheus metrics of the exchange with the coordinators.
type Metrics struct {
	registry     prometheus.Registerer
	fetches      *prometheus.CounterVec
	fetchedBytes prometheus.Counter
	fetchTime    prometheus.Histogram
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		registry: registry,
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_state_fetches_total", Help: "Fetches of the state from coordinators by result.",
		}, []string{"result"}),
		fetchedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sequoia_state_fetched_bytes_total", Help: "Bytes of the documents in fetched states.",
		}),
		fetchTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sequoia_state_fetch_seconds", Help: "Duration of fetches of the state.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}),
	}
	registry.MustRegister(m.fetches, m.fetchedBytes, m.fetchTime)
	return m
}

// observeTraffic registers the bytes that this VM exchanges with the coordinators.
func (m *Metrics) observeTraffic(pool *messenger.Pool) {
	if m == nil {
		return
	}
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sequoia_coordinator_received_bytes_total", Help: "Bytes received from coordinators.",
		}, func() float64 { return float64(pool.Traffic().Received) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sequoia_coordinator_sent_bytes_total", Help: "Bytes sent to coordinators.",
		}, func() float64 { return float64(pool.Traffic().Sent) }),
	)
}

func (m *Metrics) observeFetch(err error, documentBytes int, took time.Duration) {
	if m == nil {
		return
	}
	result := fetchComplete
	if err != nil {
		result = fetchFailed
	}
	m.fetches.WithLabelValues(result).Inc()
	m.fetchedBytes.Add(float64(documentBytes))
	m.fetchTime.Observe(took.Seconds())
}
