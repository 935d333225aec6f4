package dispatch

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/region"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A request with home regions sees the servers there, according to the newest view. Outdated views
// are not kept, because each holds all servers of a service.
func TestHomeViewsAreTheNewest(t *testing.T) {
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
			t.Fatalf("view has %d servers, want the %d in the home region", len(view.Backends), n+1)
		}
	}
	if len(d.homes.views) != 1 {
		t.Errorf("%d views cached, want 1", len(d.homes.views))
	}
	if whole := (&world.ServiceView{}); d.viewFor(&Request{Service: "s"}, whole) != whole {
		t.Error("a request without home regions does not see the whole service")
	}
}
