package dispatch

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A request with homes sees the servers there, those of the newest view, and views that are over are
// not kept: each has all servers of a service.
func TestViewsOfHomesAreTheNewest(t *testing.T) {
	d := &Dispatcher{conf: Config{Regions: region.Map{"dc1": "north", "dc2": "south"}}}
	req := &Request{Service: "s", Homes: region.HomesOf([]string{"south"})}
	for n := range 100 {
		whole := &world.ServiceView{Backends: make([]world.BackendView, 0, n+2)}
		for range n + 1 {
			whole.Backends = append(whole.Backends, world.BackendView{ID: "b", DataCentre: "dc2"})
		}
		whole.Backends = append(whole.Backends, world.BackendView{ID: "a", DataCentre: "dc1"})
		view := d.viewFor(req, whole)
		if len(view.Backends) != n+1 || d.viewFor(req, whole) != view {
			t.Fatalf("%d servers seen of %d in the home", len(view.Backends), n+1)
		}
	}
	if len(d.homes.views) != 1 {
		t.Errorf("%d views kept", len(d.homes.views))
	}
	if whole := (&world.ServiceView{}); d.viewFor(&Request{Service: "s"}, whole) != whole {
		t.Error("a request without homes does not see the whole service")
	}
}
