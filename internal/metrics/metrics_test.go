package metrics_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// value returns the sum of a metric over all its labels: the value of gauges and
// counters, the sample count of histograms.
func value(t *testing.T, reg *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total, found := 0.0, false
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.Metric {
			found = true
			total += m.GetGauge().GetValue() + m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	if !found {
		t.Fatalf("no metric %s", name)
	}
	return total
}

// The balancer's statistics are exported.
func TestBalancerIsPublished(t *testing.T) {
	reg := prometheus.NewRegistry()
	m := metrics.New(reg)
	table := balance.NewTable(time.Now, policy.Config{Cost: policy.DefaultCostRule(), Retry: policy.DefaultRetryRule()})
	m.RegisterBalance(table)
	view := &world.ServiceView{Backends: []world.BackendView{{ID: "b1", DataCentre: "dc1", Slots: 3, Weight: 1}}}
	for _, outcome := range []policy.Outcome{policy.Failed, policy.Failed} {
		lease, err := table.Pick(view, policy.Request{Service: "s", DataCentre: "dc1", FirstAttempt: true})
		if err != nil {
			t.Fatal(err)
		}
		if got := value(t, reg, "pearshelf_requests_in_flight"); got != 1 {
			t.Errorf("%v requests in flight, want 1", got)
		}
		lease.Finish(policy.Result{Outcome: outcome})
	}
	for name, want := range map[string]float64{"pearshelf_servers_known": 1, "pearshelf_servers_failing": 1, "pearshelf_requests_in_flight": 0} {
		if got := value(t, reg, name); got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

func TestRequestsRetriesAndLog(t *testing.T) {
	reg := prometheus.NewRegistry()
	m := metrics.New(reg)
	m.RegisterDroppedLogLines(func() int64 { return 7 })
	m.Request("s", "complete", time.Second)
	m.Retry("s", true)
	m.Retry("s", false)
	for name, want := range map[string]float64{"pearshelf_requests_total": 1, "pearshelf_request_seconds": 1, "pearshelf_retries_total": 2, "pearshelf_log_lines_dropped_total": 7} {
		if got := value(t, reg, name); got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

// Operators see what waits in the host, for how long, and why the queue refused requests.
func TestWaitsArePublished(t *testing.T) {
	reg := prometheus.NewRegistry()
	m := metrics.New(reg)
	m.RegisterWaiting(func() (int, int64) { return 3, 4096 })
	m.Waited("plans", "sent", time.Second)
	m.WaitRefused("plans", "no-time")
	for name, want := range map[string]float64{"pearshelf_waiting_requests": 3, "pearshelf_waiting_bytes": 4096, "pearshelf_wait_seconds": 1, "pearshelf_wait_refused_total": 1} {
		if got := value(t, reg, name); got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}
