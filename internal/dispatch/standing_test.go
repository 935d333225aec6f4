package dispatch

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Guards against requests that reach leaving servers: once the configuration has removed a service, no
// host is told any more which of its servers leave.
func TestNothingIsSentToServersOfRemovedService(t *testing.T) {
	x := newSendingExchange(t)
	x.req.Service = "shop"
	view := &world.ServiceView{Config: &config.Service{}, Backends: []world.BackendView{{ID: "s1", Address: "127.0.0.1:1"}}}
	snap := &world.Snapshot{Services: map[string]*world.ServiceView{"shop": view}}
	x.d.snapshot = func() *world.Snapshot { return snap }
	if gone := x.refreshView(); gone != nil {
		t.Fatal(gone)
	}
	to := destination{view: x.view, server: process.Server{Service: "shop", ID: "s1"}}
	if err := x.checkServer(to); err != nil {
		t.Errorf("before the change: %v", err)
	}

	snap = &world.Snapshot{}
	if err := x.checkServer(to); err == nil {
		t.Error("a send that is under way is not withheld")
	}
	if _, err := x.acquire(t.Context()); errs.KindOf(err) != errs.KindNoRoute {
		t.Errorf("a further send: %v, want a refusal", err)
	}
	if after := (&hedge{x: x}).reviewCopy(t.Context(), nil); after != noFurtherReview {
		t.Errorf("a copy is considered in %s", after)
	}
}
