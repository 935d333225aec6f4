package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// No request reaches a server over 2 s after it told the host that it leaves, and no more
// than two of a host reach one in a rest that it asked for: where a third of the servers
// leave, where a third or all of them turn requests away, and where those that are full ask
// for rest.
func TestWhatServersSayIsKept(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"leaving-said", "rest-some", "rest", "rest-full"} {
		pattern, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(seeds) {
			got := Run(pattern, Config{Seed: seed + 1})
			if got.AfterLeaving > 0 || got.OverRest > 0 {
				t.Errorf("%s, seed %d: %d requests after leaving, %d rests with up to %d", name, seed+1, got.AfterLeaving, got.OverRest, got.InRest)
			}
		}
	}
}

// Servers that asked for rest because they were full are not filled again at one moment.
func TestServersReturnOneRequestAtATime(t *testing.T) {
	t.Parallel()
	with, _ := playOver(t, overloadSeeds, "rest-full")
	without, _ := playOver(t, overloadSeeds, "rest-full", policy.MechanismReturnOneByOne)
	if with.Unserved() > 0.9*without.Unserved() {
		t.Errorf("%.3f unserved, %.3f without", with.Unserved(), without.Unserved())
	}
}
