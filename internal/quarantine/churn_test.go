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

// some calls do for the hosts whose place in the list is below a share of it.
func some(f *fleet, share float64, do func(name string)) {
	for _, name := range f.names[:int(share*float64(len(f.names)))] {
		do(name)
	}
	f.settle()
}

func kill(share float64) func(f *fleet) {
	return func(f *fleet) { some(f, share, func(name string) { delete(f.hosts, name) }) }
}

func startAgain(share float64) func(f *fleet) {
	return func(f *fleet) { some(f, share, f.start) }
}

// cut puts hosts on a side of their own, or back.
func cut(share float64, side int) func(f *fleet) {
	return func(f *fleet) {
		some(f, share, func(name string) {
			f.hosts[name].side = side
			f.hosts[name].since = f.now
		})
	}
}

// The same request comes at any host while hosts are killed, started, cut off and added.
// The users allow three sends by hosts that are in touch, later than 3 s after it has ended
// the third server.
func TestBadRequestWhileHostsComeAndGo(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name    string
		disturb func(f *fleet, at time.Duration)
	}{
		{"calm", nil},
		{"half killed as it begins, back after 2 s", both(at(second, kill(0.5)), at(3*second, startAgain(0.5)))},
		{"half killed later, back after 2 s", both(at(10*second, kill(0.5)), at(12*second, startAgain(0.5)))},
		{"half killed for good", at(10*second, kill(0.5))},
		{"all started again, one after the other", func(f *fleet, at time.Duration) {
			if at >= 5*second && at%(200*time.Millisecond) == 0 {
				if i := int((at - 5*second) / (200 * time.Millisecond)); i < len(f.names) {
					f.start(f.names[i])
					f.settle()
				}
			}
		}},
		{"all started again at once", both(at(10*second, kill(1)), at(11*second, startAgain(1)))},
		{"a third cut off as it begins, for 12 s", both(at(0, cut(0.33, 1)), at(12*second, cut(0.33, 0)))},
		{"a third cut off later, for 12 s", both(at(10*second, cut(0.33, 1)), at(22*second, cut(0.33, 0)))},
		{"twice as many hosts", at(10*second, func(f *fleet) {
			for i := range 36 {
				f.start(fmt.Sprintf("n%03d", i))
			}
			f.settle()
		})},
	} {
		for _, rate := range []float64{2.5, 10} {
			late, early := 0, 0
			for seed := range uint64(4) {
				o := simulate(t, load{badPerSecond: rate, disturb: c.disturb}, seed)
				late = max(late, o.badSends)
				early = max(early, o.early)
			}
			t.Logf("%s, %g a second: %d sends late, %d before", c.name, rate, late, early)
			if late > 3 {
				t.Errorf("%s, %g a second: %d sends later than the users allow", c.name, rate, late)
			}
		}
	}
}
