package replay

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
)

// restartSeries are restarts while all servers of a service shed half of what they get, from 13 s on
// in the pattern sheds, and the retry allowance binds.
var restartSeries = map[string][]Restart{
	"some at once":          {{At: seconds(15), Share: 0.55, Down: seconds(0.7)}},
	"all at once":           {{At: seconds(16), Share: 1, Down: seconds(0.7)}},
	"all in turn":           {{At: seconds(14), Share: 1, Down: seconds(0.7), Gap: seconds(0.2)}},
	"some again, and again": {{At: seconds(14.5), Share: 0.55, Down: seconds(0.5)}, {At: seconds(16.5), Share: 0.55, Down: seconds(0.5)}, {At: seconds(18.5), Share: 0.55, Down: seconds(0.5)}},
	"all again, and again":  {{At: seconds(14.5), Share: 1, Down: seconds(0.3)}, {At: seconds(16.5), Share: 1, Down: seconds(0.3)}, {At: seconds(18.5), Share: 1, Down: seconds(0.3)}},
}

func seconds(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// What all hosts together send again stays within the allowance if most of them hear no other from the
// moment on at which it begins to be spent, and if all are killed in the middle of that.
func TestAllowanceHoldsWhenHostsAreCutOff(t *testing.T) {
	t.Parallel()
	for label, restarts := range map[string][]Restart{"cut off": nil, "cut off and killed": restartSeries["all at once"]} {
		for seed := range uint64(3) {
			pattern, err := Load("sheds")
			if err != nil {
				t.Fatal(err)
			}
			pattern.Network.Cut = Cut{From: seconds(13.3), For: seconds(8), Share: 0.7}
			pattern.Restarts = restarts
			if spent := Run(pattern, Config{Seed: seed + 1}).AllowanceSpent; spent > 1 {
				t.Errorf("%s, seed %d: %.2f of the allowance was spent", label, seed+1, spent)
			}
		}
	}
}

// What all hosts together send again stays within the allowance, whichever of them are killed and
// start again in the middle of it.
func TestAllowanceHoldsThroughRestarts(t *testing.T) {
	t.Parallel()
	for series, restarts := range restartSeries {
		for seed := range uint64(3) {
			pattern, err := Load("sheds")
			if err != nil {
				t.Fatal(err)
			}
			pattern.Restarts = restarts
			if spent := Run(pattern, Config{Seed: seed + 1}).AllowanceSpent; spent > 1 {
				t.Errorf("%s, seed %d: %.2f of the allowance was spent", series, seed+1, spent)
			}
		}
	}
}
