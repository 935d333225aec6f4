package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// at returns a disturbance that does something at one time.
func at(when time.Duration, do func(f *fleet)) func(f *fleet, at time.Duration) {
	return func(f *fleet, at time.Duration) {
		if at == when {
			do(f)
		}
	}
}

func both(a, b func(f *fleet, at time.Duration)) func(f *fleet, at time.Duration) {
	return func(f *fleet, at time.Duration) {
		a(f, at)
		b(f, at)
	}
}

// forShare calls do for the hosts whose place in the list is below a share of it.
func forShare(f *fleet, share float64, do func(name string)) {
	for _, name := range f.names[:int(share*float64(len(f.names)))] {
		do(name)
	}
	f.syncHosts()
}

func kill(share float64) func(f *fleet) {
	return func(f *fleet) { forShare(f, share, func(name string) { delete(f.hosts, name) }) }
}

func restart(share float64) func(f *fleet) {
	return func(f *fleet) { forShare(f, share, f.start) }
}

// partition puts hosts on a side of their own, or back.
func partition(share float64, side int) func(f *fleet) {
	return func(f *fleet) {
		forShare(f, share, func(name string) {
			f.hosts[name].partition = side
			f.hosts[name].connectedSince = f.now
		})
	}
}

// The same request comes at any host while hosts are killed, started, cut off and added.
// The users allow three sends by hosts that are in touch, later than 3 s after it has ended
// the third server.
func TestCrashingRequestDuringHostChurn(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name    string
		disrupt func(f *fleet, at time.Duration)
	}{
		{"calm", nil},
		{"half killed as it begins, back after 2 s", both(at(second, kill(0.5)), at(3*second, restart(0.5)))},
		{"half killed later, back after 2 s", both(at(10*second, kill(0.5)), at(12*second, restart(0.5)))},
		{"half killed for good", at(10*second, kill(0.5))},
		{"all started again, one after the other", func(f *fleet, at time.Duration) {
			if at >= 5*second && at%(200*time.Millisecond) == 0 {
				if i := int((at - 5*second) / (200 * time.Millisecond)); i < len(f.names) {
					f.start(f.names[i])
					f.syncHosts()
				}
			}
		}},
		{"all started again at once", both(at(10*second, kill(1)), at(11*second, restart(1)))},
		{"a third cut off as it begins, for 12 s", both(at(0, partition(0.33, 1)), at(12*second, partition(0.33, 0)))},
		{"a third cut off later, for 12 s", both(at(10*second, partition(0.33, 1)), at(22*second, partition(0.33, 0)))},
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
			t.Logf("%s, %g a second: %d sends late, %d before", c.name, rate, late, early)
			if late > 3 {
				t.Errorf("%s, %g a second: %d sends later than the users allow", c.name, rate, late)
			}
		}
	}
}
