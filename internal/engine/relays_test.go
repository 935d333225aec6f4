package engine

import (
	"slices"
	"testing"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Requests are relayed through hosts that announce a working path only: not through one that lost
// its own, is leaving or suspected, nor one of a version that takes no relayed requests.
func TestRelaysAreHostsWithAWorkingPath(t *testing.T) {
	alive, working, lost := peerpb.Liveness_LIVENESS_ALIVE, peerpb.PathState_PATH_STATE_WORKING, peerpb.PathState_PATH_STATE_LOST
	w := &world.World{Self: world.Identity{Host: "self", DataCentre: "dc1"}, Hosts: map[string]*world.Host{
		"self":    {Name: "self", DataCentre: "dc1", Liveness: alive, Path: lost},
		"good":    {Name: "good", DataCentre: "dc1", Liveness: alive, Path: working},
		"far":     {Name: "far", DataCentre: "dc2", Liveness: alive, Path: working},
		"lost":    {Name: "lost", DataCentre: "dc1", Liveness: alive, Path: lost},
		"farlost": {Name: "farlost", DataCentre: "dc2", Liveness: alive, Path: lost},
		"leaving": {Name: "leaving", DataCentre: "dc1", Liveness: alive, Path: working, Leaving: true},
		"suspect": {Name: "suspect", DataCentre: "dc1", Liveness: peerpb.Liveness_LIVENESS_SUSPECT, Path: working},
		"older":   {Name: "older", DataCentre: "dc1", Liveness: alive},
	}}
	v := newViewBuilder(false)
	v.chooseRelays(w)
	var names []string
	for _, host := range v.relays {
		names = append(names, host.Host)
	}
	if !slices.Equal(names, []string{"far", "good"}) || v.hostsWithoutPath != 2 {
		t.Errorf("relays %v and %d hosts without a path, want far and good, and 2", names, v.hostsWithoutPath)
	}
	if !v.hostsRelay {
		t.Error("other hosts take relayed requests")
	}
	w.Hosts = map[string]*world.Host{"self": w.Hosts["self"], "older": w.Hosts["older"]}
	if v.chooseRelays(w); v.hostsRelay {
		t.Error("a host of an earlier version takes no relayed requests")
	}
}
