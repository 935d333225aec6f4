package replay

import "testing"

// Hundreds of hosts before thousands of servers: a server gets a request every few seconds, and a
// third of the servers is in a spell. To keep most of them in use took more requests than there were,
// so that each went to the server of which the least was known; and still more servers were out of use
// at moments of trouble than the users' rule allows.
func TestServersWithFewRequests(t *testing.T) {
	t.Parallel()
	_, sum, err := sumSeeds("fleet", seeds, Config{})
	if err != nil {
		t.Fatal(err)
	}
	total := sum.Total()
	if total.Goodput() < 0.95 {
		t.Errorf("goodput %.3f, %.3f unserved", total.Goodput(), total.Unserved())
	}
	for service, use := range sum.Use {
		if use.Broken > 0 {
			t.Errorf("%s: at %d moments over %.1f of the sound servers were out of use, at worst %.2f", service, use.Broken, mostUnused, use.Worst)
		}
	}
}

// More comes than a service can carry, most of it with four seconds to wait, a little of it with one.
// The queue stood at what four seconds allow, and most requests with one ran out of time in it.
func TestRequestsWithLittleTimeAreNotStarved(t *testing.T) {
	t.Parallel()
	_, routes := play(t, "mixed-timeouts")
	short, patient := routes["short"].Unserved(), routes["patient"].Unserved()
	if short > 1.5*patient {
		t.Errorf("%.3f unserved of the requests with little time, %.3f of the others", short, patient)
	}
}
