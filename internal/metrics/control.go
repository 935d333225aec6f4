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

// crossZoneSource provides the bytes exchanged with other data centres, by kind.
type crossZoneSource interface{ Totals() map[string]uint64 }

// crossZoneCollector exports the bytes exchanged with other data centres.
type crossZoneCollector struct {
	source crossZoneSource
	bytes  *prometheus.Desc
}

// RegisterCrossZone exports the bytes exchanged with other data centres, by kind.
func (m *Metrics) RegisterCrossZone(source crossZoneSource) {
	m.registerer.MustRegister(&crossZoneCollector{
		source: source,
		bytes:  prometheus.NewDesc("pearshelf_cross_zone_bytes_total", "Bytes exchanged with other data centres, by kind: sent to hosts and servers there, and responses from there.", []string{"kind"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *crossZoneCollector) Describe(out chan<- *prometheus.Desc) { out <- c.bytes }

// Collect implements prometheus.Collector.
func (c *crossZoneCollector) Collect(out chan<- prometheus.Metric) {
	for kind, bytes := range c.source.Totals() {
		out <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(bytes), kind)
	}
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
var (
	_ prometheus.Collector = (*controlCollector)(nil)
	_ prometheus.Collector = (*crossZoneCollector)(nil)
)
