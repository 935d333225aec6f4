package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// at returns a disruption that happens once, at the given time.
func at(when time.Duration, do func(f *fleet)) func(f *fleet, at time.Duration) {
	return func(f *fleet, at time.Duration) {
		if at == when {
			do(f)
		}
	}
}

// both combines two disruptions.
func both(a, b func(f *fleet, at time.Duration)) func(f *fleet, at time.Duration) {
	return func(f *fleet, at time.Duration) {
		a(f, at)
		b(f, at)
	}
}

// forShare calls do for the first hosts of the list, up to a share of it.
func forShare(f *fleet, share float64, do func(name string)) {
	for _, name := range f.names[:int(share*float64(len(f.names)))] {
		do(name)
	}
	f.syncHosts()
}

// kill stops a share of the hosts.
func kill(share float64) func(f *fleet) {
	return func(f *fleet) { forShare(f, share, func(name string) { delete(f.hosts, name) }) }
}

// restart starts a share of the hosts with empty state.
func restart(share float64) func(f *fleet) {
	return func(f *fleet) { forShare(f, share, f.start) }
}

// partition moves a share of the hosts to another network partition, or back.
func partition(share float64, side int) func(f *fleet) {
	return func(f *fleet) {
		forShare(f, share, func(name string) {
			f.hosts[name].partition = side
			f.hosts[name].connectedSince = f.now
		})
	}
}

// A crashing request arrives at random hosts while hosts are killed, restarted, partitioned and
// added. From 3 s after its third crash on, the requirement allows at most three more sends by
// connected hosts.
func TestCrashingRequestDuringHostChurn(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name    string
		disrupt func(f *fleet, at time.Duration)
	}{
		{"calm", nil},
		{"half killed at the start, back after 2 s", both(at(second, kill(0.5)), at(3*second, restart(0.5)))},
		{"half killed later, back after 2 s", both(at(10*second, kill(0.5)), at(12*second, restart(0.5)))},
		{"half killed for good", at(10*second, kill(0.5))},
		{"rolling restart of all hosts", func(f *fleet, at time.Duration) {
			if at >= 5*second && at%(200*time.Millisecond) == 0 {
				if i := int((at - 5*second) / (200 * time.Millisecond)); i < len(f.names) {
					f.start(f.names[i])
					f.syncHosts()
				}
			}
		}},
		{"all restarted at once", both(at(10*second, kill(1)), at(11*second, restart(1)))},
		{"a third partitioned at the start, for 12 s", both(at(0, partition(0.33, 1)), at(12*second, partition(0.33, 0)))},
		{"a third partitioned later, for 12 s", both(at(10*second, partition(0.33, 1)), at(22*second, partition(0.33, 0)))},
		{"twice as many hosts", at(10*second, func(f *fleet) {
			for i := range 36 {
				f.start(fmt.Sprintf("n%03d", i))
			}
			f.syncHosts()
		})},
	} {
		for _, rate := range []float64{2.5, 10} {
			late, early := 0, 0
			for seed := range uint64(4) {
				o := simulate(t, workload{crashingPerSecond: rate, disrupt: c.disrupt}, seed)
				late = max(late, o.lateSends)
				early = max(early, o.earlySends)
			}
			t.Logf("%s, %g requests/s: %d sends after the grace period, %d before", c.name, rate, late, early)
			if late > 3 {
				t.Errorf("%s, %g requests/s: %d sends after the grace period, want at most 3", c.name, rate, late)
			}
		}
	}
}
