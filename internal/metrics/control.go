package metrics

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// controlSource is what the collector reads, once a scrape.
type controlSource interface {
	// SentByKind returns the bytes of datagrams sent so far by kind.
	SentByKind() map[string]uint64
}

// controlCollector publishes which messages between hosts cost bytes.
type controlCollector struct {
	source controlSource
	sent   *prometheus.Desc
}

// WatchControl publishes the bytes that the host sends to others by kind of message.
func (m *Metrics) WatchControl(source controlSource) {
	m.registerer.MustRegister(&controlCollector{
		source: source,
		sent:   prometheus.NewDesc("pearshelf_datagram_sent_bytes_total", "Bytes of datagrams sent to other hosts, by kind.", []string{"kind"}, nil),
	})
}

// DocumentSent counts the bytes of a document, or a change to it, given to another host.
func (m *Metrics) DocumentSent(key string, bytes int) {
	if bytes > 0 {
		m.documentBytes.WithLabelValues(key).Add(float64(bytes))
	}
}

// Describe implements prometheus.Collector.
func (c *controlCollector) Describe(out chan<- *prometheus.Desc) { out <- c.sent }

// Collect implements prometheus.Collector.
func (c *controlCollector) Collect(out chan<- prometheus.Metric) {
	for kind, bytes := range c.source.SentByKind() {
		name := strings.ToLower(strings.TrimPrefix(kind, "KIND_"))
		out <- prometheus.MustNewConstMetric(c.sent, prometheus.CounterValue, float64(bytes), name)
	}
}

// Interface guard.
var _ prometheus.Collector = (*controlCollector)(nil)
