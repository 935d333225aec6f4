package quotas_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/experiment/quotas"
)

// run plays a pattern over hosts of three data centres with callers that choose a host for each
// request.
func run(tolerant bool, trouble func(f *quotas.Fleet)) *quotas.Fleet {
	conf := quotas.Dispersed(1)
	conf.Tolerant, conf.Trouble = tolerant, trouble
	f := quotas.New(conf)
	f.Run()
	return f
}

func surge(f *quotas.Fleet) { f.Hot(8*s, 0, 6.6, 7*s) }

// A customer far beyond its limit must not cost a message for each of its requests: between data
// centres these are a deployment's largest control traffic. Nearly all that its limit allows must
// still be served.
func TestSurgeCostsFewMessages(t *testing.T) {
	calm, surged, single := run(true, nil), run(true, surge), run(false, surge)
	more := float64(surged.Messages-calm.Messages) / 7
	cross := float64(surged.CrossMessages-calm.CrossMessages) / 7
	before := float64(single.Messages-run(false, nil).Messages) / 7
	got := surged.Result()
	t.Logf("%.0f messages a second for the surge, %.0f of them between data centres, %.0f with single tokens; refused %.4f, %.4f with single tokens; used %.2f",
		more, cross, before, surged.RefusedOf(0), single.RefusedOf(0), got.Used)
	if more > before/2 || surged.RefusedOf(0) > 0.04 || got.Used > 0.9 {
		t.Errorf("%.0f messages a second, %.0f with single tokens; refused %.4f, used %.2f", more, before, surged.RefusedOf(0), got.Used)
	}
}

// Hosts that are cut off must not refuse what a limit allows because their share of it brings the
// first token long after the request.
func TestSeparatedHostsServeWithinLimits(t *testing.T) {
	cut := func(f *quotas.Fleet) { f.Cut(8*s, 0.35, false, 12*s) }
	exact, tolerant := run(false, cut).Result(), run(true, cut).Result()
	t.Logf("refused %.4f, %.4f without a tolerance; used %.2f", tolerant.Refused, exact.Refused, tolerant.Used)
	if tolerant.Refused > exact.Refused/2 || tolerant.Used > 0.9 {
		t.Errorf("refused %.4f, %.4f without a tolerance; used %.2f", tolerant.Refused, exact.Refused, tolerant.Used)
	}
}

// The bound holds whatever fails while a customer holds leases and hosts have reserves.
func TestToleranceHoldsInFailures(t *testing.T) {
	patterns := map[string]func(f *quotas.Fleet){
		"the home is killed halfway":  func(f *quotas.Fleet) { f.KillHome(11*s, 0, 3500*time.Millisecond) },
		"a third is cut together":     func(f *quotas.Fleet) { f.Cut(10*s, 0.35, true, 6*s) },
		"a third is cut, each alone":  func(f *quotas.Fleet) { f.Cut(10*s, 0.35, false, 12*s) },
		"half of the hosts are ended": func(f *quotas.Fleet) { f.Kill(9*s, 0.55, 2*s) },
		"all hosts start again":       func(f *quotas.Fleet) { f.Kill(9*s, 1, s) },
	}
	for name, trouble := range patterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := run(true, func(f *quotas.Fleet) { surge(f); trouble(f) }).Result()
			exact := run(false, func(f *quotas.Fleet) { surge(f); trouble(f) }).Result()
			t.Logf("refused %.4f, used %.2f; without a tolerance %.4f, %.2f", got.Refused, got.Used, exact.Refused, exact.Used)
			if got.Used > 1 {
				t.Errorf("used %.2f of what the rule allows", got.Used)
			}
		})
	}
}

// A fleet that is cut in halves keeps the bound as well.
func TestToleranceHoldsInHalves(t *testing.T) {
	cut := func(f *quotas.Fleet) { surge(f); f.Cut(10*s, 0.5, true, 6*s) }
	got, exact := run(true, cut).Result(), run(false, cut).Result()
	t.Logf("refused %.4f, used %.2f; without a tolerance %.4f, %.2f", got.Refused, got.Used, exact.Refused, exact.Used)
	if got.Used > 1 {
		t.Errorf("used %.2f of what the rule allows", got.Used)
	}
}
