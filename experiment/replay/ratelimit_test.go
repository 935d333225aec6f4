package replay

import "testing"

// What all hosts together send to servers that name rate limits stays well within the users'
// rule: where a tenth, a third or all of the servers name one, at 0.4 to 2.4 requests a second,
// in a burst, and while a third of the hosts hear of no other. Without limits the rule breaks.
func TestRateLimitsAreKept(t *testing.T) {
	t.Parallel()
	const most = 0.8 // of what the rule allows
	for _, name := range []string{"limit-some", "limit-third", "limit-all", "limit-all-cut", "limit-all-low", "limit-falls"} {
		pattern, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(limitSeeds) {
			if got := Run(pattern, Config{Seed: seed + 1}).Limits; got.Worst > most || got.Room == 0 {
				t.Errorf("%s, seed %d: %.2f of what a server may get in 4 s", name, seed+1, got.Worst)
			}
		}
		if got := Run(pattern, Config{Seed: 1, Limits: LimitsNotKept}).Limits; got.Worst < 1 {
			t.Errorf("%s: %.2f without limits, which is within the rule", name, got.Worst)
		}
	}
}

// limitSeeds is how often each pattern of rate limits is played.
const limitSeeds = 2

// Where all servers name limits their room is used, by one bucket a server as by no other way
// that keeps them: few hosts that hold a part each leave some and serve fewer.
func TestRoomOfRateLimitsIsUsed(t *testing.T) {
	t.Parallel()
	byHome, holders := playLimits(t, "limit-all", LimitsByHome), playLimits(t, "limit-all", LimitsByHolders)
	if used := byHome.Limits.Sent / byHome.Limits.Room; used < 0.9 || used > 1.2 {
		t.Errorf("%.2f of the room is used", used)
	}
	home, held := byHome.Total(), holders.Total()
	if home.Goodput() < held.Goodput()+0.05 {
		t.Errorf("goodput %.3f, with few holders %.3f", home.Goodput(), held.Goodput())
	}
}

func playLimits(t *testing.T, name string, way LimitWay) *Result {
	t.Helper()
	_, sum, err := sumSeeds(name, limitSeeds, Config{Limits: way})
	if err != nil {
		t.Fatal(err)
	}
	return sum
}
