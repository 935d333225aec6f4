package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// playWithout sums plays of a pattern with all mechanisms, and without some of them.
func playWithout(t *testing.T, name string, mechanisms ...policy.Mechanism) (with, without *Result) {
	t.Helper()
	_, with, err := sumSeeds(name, seeds, Config{})
	if err != nil {
		t.Fatal(err)
	}
	_, without, err = sumSeeds(name, seeds, Config{Without: mechanisms})
	if err != nil {
		t.Fatal(err)
	}
	return with, without
}

// While hosts are restarted in turn, those in their first window have less than one retry each.
// Requests that failed were not retried although others had retries left: they wait for one now.
func TestRestartedHostsGetRetries(t *testing.T) {
	t.Parallel()
	with, without := playWithout(t, "rolling-restart", policy.MechanismGiftWait, policy.MechanismPooledRetries, policy.MechanismYoungReserve)
	lookup, before := with.route("lookup"), without.route("lookup")
	t.Logf("%d of %d lookups not retried, %.4f unserved; without %d, %.4f", lookup.Withheld, lookup.Asked, lookup.Unserved(), before.Withheld, before.Unserved())
	if float64(lookup.Withheld) > 0.75*float64(before.Withheld) || lookup.Unserved() > before.Unserved() {
		t.Error("hosts in their first window get too few retries")
	}
	if with.AllowanceSpent > 1 {
		t.Errorf("%.2f of the allowance was spent", with.AllowanceSpent)
	}
}

// A host that starts again sends requests that must not run twice to servers which others know to be
// failing, unless it takes over what they know.
func TestRestartedHostsKnowFailingServers(t *testing.T) {
	t.Parallel()
	with, without := playWithout(t, "rolling-restart", policy.MechanismHandover)
	purchase, before := with.route("purchase"), without.route("purchase")
	t.Logf("%d of %d purchases failed, without %d", purchase.Failed, purchase.Asked, before.Failed)
	if float64(purchase.Failed) > 0.93*float64(before.Failed) {
		t.Error("hosts that start again know too little of failing servers")
	}
}

// While all servers shed, the retries go to the kind of request that earns most by them. First come,
// first served, both kinds got as many.
func TestRetriesGoWhereTheyEarnMost(t *testing.T) {
	t.Parallel()
	with, without := playWithout(t, "retry-value", policy.MechanismRetryBenefit)
	for _, route := range []string{"booking", "export"} {
		t.Logf("%s: %.4f unserved, without %.4f", route, with.route(route).Unserved(), without.route(route).Unserved())
	}
	if with.route("booking").Unserved() > 0.9*without.route("booking").Unserved() {
		t.Error("the retries of the more urgent kind go to the other one")
	}
	all, before := with.Total(), without.Total()
	if all.Unserved() > before.Unserved()+0.005 || with.AllowanceSpent > 1 {
		t.Errorf("%.4f unserved in all, without %.4f; %.2f of the allowance", all.Unserved(), before.Unserved(), with.AllowanceSpent)
	}
}
