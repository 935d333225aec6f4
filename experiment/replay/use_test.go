package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// expectUse plays a pattern, and returns it: the users' rule on servers in use must hold at each
// moment for which it asks, and there must be such moments.
func expectUse(t *testing.T, name string) *Pattern {
	t.Helper()
	pattern, sum, err := sumSeeds(name, seeds, Config{})
	if err != nil {
		t.Fatal(err)
	}
	got, total := sum.Use["post"], sum.Total()
	t.Logf("%d moments, at worst %.2f out of use, unserved %.3f", got.Moments, got.Worst, total.Unserved())
	if got.Moments == 0 || got.Broken > 0 {
		t.Errorf("at %d of %d moments over %.1f of the sound servers were out of use, at worst %.2f", got.Broken, got.Moments, mostUnused, got.Worst)
	}
	return pattern
}

// While a tenth to a half of the requests are not served, few of the servers that nothing
// speaks against are out of use, although the work runs once and each try of a doubted
// server may lose it.
func TestSoundServersAreUsedInTrouble(t *testing.T) {
	t.Parallel()
	pattern := expectUse(t, "troubled")
	without := Run(pattern, Config{Seed: 1, Without: []policy.Mechanism{policy.MechanismDegraded, policy.MechanismCoverage}}).Use["post"]
	if without.Broken == 0 {
		t.Errorf("the pattern shows nothing: without the mechanisms at worst %.2f are out of use", without.Worst)
	}
}

// Servers that are rarely used are those to which kept connections are closed when the next request
// comes. A send that did not leave counted as a use, so that a third and more of the servers that
// nothing spoke against had no request for 2 s while a tenth of all requests failed.
func TestSoundServersAreUsedOverClosedConnections(t *testing.T) {
	t.Parallel()
	expectUse(t, "troubled-idle")
}
