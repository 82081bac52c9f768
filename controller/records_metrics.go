package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"sequoiaspread.example/sequoia/recorder"
)

// recordMetrics exposes the size of the records, the state of the record view and the outcomes of calls.
type recordMetrics struct {
	entries *prometheus.GaugeVec
	view    prometheus.Gauge
	primary prometheus.Gauge
	replies *prometheus.CounterVec
}

func newRecordMetrics() *recordMetrics {
	gauge := func(name, help string) prometheus.GaugeOpts {
		return prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}
	}
	return &recordMetrics{
		entries: prometheus.NewGaugeVec(gauge("records_held", "Booking records, open sessions and permanently remembered keys."), []string{"kind"}),
		view:    prometheus.NewGauge(gauge("records_view", "Number of the record view.")),
		primary: prometheus.NewGauge(gauge("records_primary", "1 on the primary of the record view.")),
		replies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "record_replies_total", Help: "Replies to gateways by outcome.",
		}, []string{"outcome"}),
	}
}

func (m *recordMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.entries, m.view, m.primary, m.replies}
}

func (m *recordMetrics) update(member *recorder.Recorder) {
	records, sessions, permanent := member.Size()
	m.entries.WithLabelValues("record").Set(float64(records))
	m.entries.WithLabelValues("session").Set(float64(sessions))
	m.entries.WithLabelValues("permanent").Set(float64(permanent))
	m.view.Set(float64(member.View().Number))
	m.primary.Set(boolToFloat(member.IsPrimary()))
}

func (m *recordMetrics) countReply(outcome recorder.Outcome) {
	m.replies.WithLabelValues(string(outcome)).Inc()
}
