package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/quota"
)

// maxCustomerLabels limits the cardinality of per-customer metrics.
const maxCustomerLabels = 20

// limitSource provides the usage that the collector reads on each scrape.
type limitSource interface {
	// Limits returns the customers that this host serves, busiest first.
	Limits() []quota.CustomerStatus
}

// limitCollector exports the usage of a host's busiest customers.
type limitCollector struct {
	source           limitSource
	use              *prometheus.Desc
	refused          *prometheus.Desc
	unreachableHomes *prometheus.Desc
}

// RegisterCustomerLimits exports the usage of the busiest customers.
func (m *Metrics) RegisterCustomerLimits(source limitSource) {
	label := []string{"customer"}
	m.registerer.MustRegister(&limitCollector{
		source:           source,
		use:              prometheus.NewDesc("pearshelf_customer_requests_per_second", "Requests a second that this host lets through, of its busiest customers.", label, nil),
		refused:          prometheus.NewDesc("pearshelf_customer_refused", "Requests beyond the customer's limit that this host has refused since its start, of its busiest customers.", label, nil),
		unreachableHomes: prometheus.NewDesc("pearshelf_customer_homes_unheard", "Customers whose home host does not answer this one.", nil, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *limitCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.use, c.refused, c.unreachableHomes} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *limitCollector) Collect(out chan<- prometheus.Metric) {
	unheard := 0
	for i, row := range c.source.Limits() {
		if row.HomeUnreachable {
			unheard++
		}
		if i < maxCustomerLabels {
			out <- prometheus.MustNewConstMetric(c.use, prometheus.GaugeValue, row.Rate, row.Customer)
			out <- prometheus.MustNewConstMetric(c.refused, prometheus.GaugeValue, float64(row.Refused), row.Customer)
		}
	}
	out <- prometheus.MustNewConstMetric(c.unreachableHomes, prometheus.GaugeValue, float64(unheard))
}

// CustomerLimitChecked counts a request that was checked against its customer's limit.
func (m *Metrics) CustomerLimitChecked(allowed bool) {
	m.customerLimited.WithLabelValues(strconv.FormatBool(allowed)).Inc()
}

// Interface guard.
var _ prometheus.Collector = (*limitCollector)(nil)
