package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/policy"
)

// balanceSource provides the statistics that the collector reads on each scrape.
type balanceSource interface {
	Stats() []policy.ServiceStats
}

// balanceCollector exports the per-service state of a host that selects backend
// servers itself. Cardinality: 11 series per service, for 500 services at the
// target size.
type balanceCollector struct {
	source    balanceSource
	servers   *prometheus.Desc
	failing   *prometheus.Desc
	inFlight  *prometheus.Desc
	retries   *prometheus.Desc
	allowance *prometheus.Desc
	left      *prometheus.Desc
	nearLimit *prometheus.Desc
	duty      *prometheus.Desc
	failures  *prometheus.Desc
	failFor   *prometheus.Desc
	wellFor   *prometheus.Desc
}

// RegisterBalance exports the statistics of a balancer.
func (m *Metrics) RegisterBalance(source balanceSource) {
	label := []string{"service"}
	m.registerer.MustRegister(&balanceCollector{
		source:    source,
		servers:   prometheus.NewDesc("pearshelf_servers_known", "Backend servers that this host knows, by service.", label, nil),
		failing:   prometheus.NewDesc("pearshelf_servers_failing", "Backend servers believed to be in a spell of failures.", label, nil),
		inFlight:  prometheus.NewDesc("pearshelf_requests_in_flight", "Requests of this host at backend servers.", label, nil),
		retries:   prometheus.NewDesc("pearshelf_retries_in_window", "Requests that this data centre sent again in the last window of the retry allowance.", label, nil),
		allowance: prometheus.NewDesc("pearshelf_retry_allowance", "Retries that this host may make or give to others in a window, by service.", label, nil),
		left:      prometheus.NewDesc("pearshelf_retries_left", "Retries that this host may make now, including those that others gave it.", label, nil),
		nearLimit: prometheus.NewDesc("pearshelf_service_near_limit", "1 while nearly a tenth of the service's requests are unserved over all data centres.", label, nil),
		duty:      prometheus.NewDesc("pearshelf_duty_sends_total", "Requests sent to a server only to keep it in use, because it was this host's turn.", label, nil),
		failures:  prometheus.NewDesc("pearshelf_failure_durations_observed_total", "Failures of servers that were observed from their start to their end.", label, nil),
		failFor:   prometheus.NewDesc("pearshelf_failure_duration_seconds", "Learnt typical duration of a server's failure, 0 while the assumed one is used.", label, nil),
		wellFor:   prometheus.NewDesc("pearshelf_well_duration_seconds", "Learnt mean time between the recovery of a server and its next failure, 0 if disabled.", label, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *balanceCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.servers, c.failing, c.inFlight, c.retries, c.allowance, c.left, c.nearLimit, c.duty, c.failures, c.failFor, c.wellFor} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *balanceCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.source.Stats() {
		values := map[*prometheus.Desc]float64{
			c.servers:   float64(s.Servers),
			c.failing:   float64(s.Failing),
			c.inFlight:  float64(s.InFlight),
			c.retries:   float64(s.Retries),
			c.allowance: s.RetryAllowance,
			c.left:      s.RetriesLeft,
			c.nearLimit: 0,
			c.failFor:   0,
			c.wellFor:   s.Durations.WellFor.Seconds(),
		}
		if s.NearLimit {
			values[c.nearLimit] = 1
		}
		if s.Durations.InForce {
			values[c.failFor] = s.Durations.Scale.Seconds()
		}
		for desc, n := range values {
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, n, s.Service)
		}
		for desc, n := range map[*prometheus.Desc]float64{c.duty: float64(s.DutySends), c.failures: float64(s.Durations.Observations)} {
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, n, s.Service)
		}
	}
}

// Interface guards.
var (
	_ prometheus.Collector = (*balanceCollector)(nil)
	_ balanceSource        = (*balance.Table)(nil)
)
