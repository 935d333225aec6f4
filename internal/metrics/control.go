package metrics

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// controlSource provides the counts that the collector reads on each scrape.
type controlSource interface {
	// SentByKind returns the number of datagram bytes sent so far, by kind.
	SentByKind() map[string]uint64
}

// controlCollector exports the traffic between hosts by kind of message.
type controlCollector struct {
	source controlSource
	sent   *prometheus.Desc
}

// RegisterControl exports the number of bytes sent to other hosts, by kind of
// message.
func (m *Metrics) RegisterControl(source controlSource) {
	m.registerer.MustRegister(&controlCollector{
		source: source,
		sent:   prometheus.NewDesc("pearshelf_datagram_sent_bytes_total", "Bytes of datagrams sent to other hosts, by kind.", []string{"kind"}, nil),
	})
}

// DocumentSent counts the bytes of a document, or of a delta to it, that was sent
// to another host.
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
