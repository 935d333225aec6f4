package replay

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/policy"
)

// Servers that are believed to fail are tried by copies: nearly all that have recovered are
// in use, and callers lose nothing for it.
func TestTrialsKeepServersInUse(t *testing.T) {
	t.Parallel()
	pattern, err := Load("wide")
	if err != nil {
		t.Fatal(err)
	}
	with, without := newResult(pattern), newResult(pattern)
	for seed := range uint64(seeds) {
		with.add(Run(pattern, Config{Seed: seed + 1}))
		without.add(Run(pattern, Config{Seed: seed + 1, Without: []policy.Mechanism{policy.MechanismTrials}}))
	}
	for i, route := range with.Routes {
		before := without.Routes[i]
		t.Logf("%s: goodput %.4f, unserved %.4f, late %.4f, copies %.3f; without trials %.4f, %.4f, %.4f, %.3f", route.Route,
			route.Goodput(), route.Unserved(), route.LateShare(), float64(route.Copies)/float64(route.Asked),
			before.Goodput(), before.Unserved(), before.LateShare(), float64(before.Copies)/float64(before.Asked))
	}
	// The largest share that may be out of use: a service whose requests may be repeated
	// keeps nearly all in use, one with few such requests some more than without.
	most := map[string]float64{"seats": 0.06, "booking": 0.15, "lists": 0.08}
	for _, service := range pattern.Services {
		got := with.UnusedShare(service.Name)
		t.Logf("%s: %.3f of the sound servers out of use, without trials %.3f", service.Name, got, without.UnusedShare(service.Name))
		if got > most[service.Name] {
			t.Errorf("%s: %.3f of the sound servers out of use, at most %.3f", service.Name, got, most[service.Name])
		}
	}
	all, before := with.Total(), without.Total()
	if all.Goodput() < before.Goodput()-0.002 || all.Unserved() > before.Unserved()+0.002 {
		t.Errorf("goodput %.4f and %.4f unserved, without trials %.4f and %.4f", all.Goodput(), all.Unserved(), before.Goodput(), before.Unserved())
	}
}
