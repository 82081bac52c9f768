package acceptor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/loader"
)

// Reason is why the guard closed a connection.
type Reason string

// Reasons, the label values of the metric.
const (
	ReasonHeaderTimeout       Reason = "header-timeout"
	ReasonIdle                Reason = "idle"
	ReasonSlowBody            Reason = "slow-body"
	ReasonSlowReader          Reason = "slow-reader"
	ReasonReclaimedMemory     Reason = "reclaimed-memory"
	ReasonReclaimedConnection Reason = "reclaimed-connection"
	ReasonRefusedConnection   Reason = "refused-connection"
	ReasonHeaderMemory        Reason = "header-memory"
	// ReasonHeaderTooLarge means that the request got 431.
	ReasonHeaderTooLarge Reason = "header-too-large"
)

// Metrics holds the Prometheus metrics of a Guard. A nil Metrics records nothing.
type Metrics struct {
	closed      *prometheus.CounterVec
	connections *prometheus.GaugeVec
	bytes       prometheus.Gauge
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sequoia_guard_closed_total", Help: "Connections closed by the guard by listener and reason.",
		}, []string{"listener", "reason"}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sequoia_guard_connections", Help: "Open connections by listener.",
		}, []string{"listener"}),
		bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sequoia_guard_bytes", Help: "Memory charged for open connections and request headers.",
		}),
	}
	registry.MustRegister(m.closed, m.connections, m.bytes)
	return m
}

func (m *Metrics) addConnections(listener string, change float64) {
	if m != nil {
		m.connections.WithLabelValues(listener).Add(change)
	}
}

func (m *Metrics) setBytes(bytes int64) {
	if m != nil {
		m.bytes.Set(float64(bytes))
	}
}

// reporter counts and logs closed connections.
type reporter struct {
	metrics *Metrics
	logger  logrus.FieldLogger
	lines   loader.LineLimiter[Reason]
}

func newReporter(metrics *Metrics, logger logrus.FieldLogger) *reporter {
	return &reporter{metrics: metrics, logger: logger}
}

// report records that a connection was closed.
func (r *reporter) report(listener string, reason Reason, s snapshot) {
	if r.metrics != nil {
		r.metrics.closed.WithLabelValues(listener, string(reason)).Inc()
	}
	suppressed, ok := r.lines.Allow(time.Now(), reason)
	if !ok || r.logger == nil {
		return
	}
	r.logger.WithFields(logrus.Fields{
		"listener": listener, "reason": string(reason), "caller": s.caller.String(), "phase": string(s.phase),
		"read-bytes": s.readBytes, "written-bytes": s.writeBytes, "age-ms": s.age.Milliseconds(), "suppressed": suppressed,
	}).Info("connection closed by the guard")
}
