package dispatch

import (
	"net/http"
	"testing"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/route"
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
	look := x.refresher(x.policyRequest())
	if seen, _ := look(); len(seen.Backends) != 1 {
		t.Errorf("before the change a waiting request sees %d servers", len(seen.Backends))
	}

	snap = &world.Snapshot{}
	if seen, _ := look(); len(seen.Backends) != 0 {
		t.Errorf("a waiting request still sees %d servers", len(seen.Backends))
	}
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

// A request is repeated only if each configuration since its arrival declares its route idempotent.
func TestKindOfRouteIsThatOfAllConfigurationsSeen(t *testing.T) {
	routesWith := func(routes ...config.Route) *route.Table { return route.Build(nil, routes) }
	to := []config.Share{{Service: "shop", Weight: 1}}
	idempotent := routesWith(config.Route{Path: "/x", Split: to, Idempotent: true})
	notIdempotent := routesWith(config.Route{Path: "/x", Split: to})
	for name, c := range map[string]struct {
		later []*route.Table
		want  bool
	}{
		"unchanged":                     {[]*route.Table{idempotent}, true},
		"route is gone":                 {[]*route.Table{routesWith()}, true},
		"not idempotent":                {[]*route.Table{notIdempotent}, false},
		"not idempotent for some time":  {[]*route.Table{notIdempotent, idempotent}, false},
		"a longer prefix is not either": {[]*route.Table{routesWith(config.Route{Path: "/", Split: to, Idempotent: true}, config.Route{Path: "/x", Split: to})}, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := newSendingExchange(t)
			x.req.Service, x.req.in.Method = "shop", http.MethodPost
			x.routes = idempotent
			for _, routes := range c.later {
				x.d.snapshot = func() *world.Snapshot {
					return &world.Snapshot{Routes: routes, Services: map[string]*world.ServiceView{"shop": {Config: &config.Service{}}}}
				}
				if gone := x.refreshView(); gone != nil {
					t.Fatal(gone)
				}
			}
			if got := x.mayRepeat(); got != c.want {
				t.Errorf("may be repeated: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against running a request twice: the host that relays it has sent it to a server, and this host's
// configuration declares its route not idempotent.
func TestRelayedRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	x := newSendingExchange(t)
	x.req.Service, x.req.Arrived, x.req.Idempotent = "shop", 1, false
	x.written, x.freeRetry = true, true
	snap := &world.Snapshot{Services: map[string]*world.ServiceView{"shop": {Config: &config.Service{}}}}
	x.d.snapshot = func() *world.Snapshot { return snap }
	refusal := x.toRefusal(x.tryServers(t.Context()))
	if refusal == nil || refusal.Outcome != OutcomeUnknown {
		t.Errorf("refusal %v, want the outcome unknown", refusal)
	}
}

// Guards against running a request twice: its route stopped being idempotent after a server may have run it,
// and the rest of its download, or a retry, was about to be sent.
func TestNoFurtherServerOnceRouteIsNotIdempotent(t *testing.T) {
	to := []config.Share{{Service: "shop", Weight: 1}}
	for name, sent := range map[string]func(x *exchange){
		"may have run":            func(x *exchange) { x.written = true },
		"a server is still at it": func(x *exchange) { x.inFlight = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			x := newSendingExchange(t)
			x.req.Service = "shop"
			x.routes = route.Build(nil, []config.Route{{Path: "/x", Split: to, Idempotent: true}})
			snap := &world.Snapshot{Routes: route.Build(nil, []config.Route{{Path: "/x", Split: to}}), Services: map[string]*world.ServiceView{"shop": {Config: &config.Service{}}}}
			x.d.snapshot = func() *world.Snapshot { return snap }
			sent(x)
			lease, err := x.acquire(t.Context())
			refusal, ok := err.(*Refusal)
			if lease != nil || !ok || refusal.Outcome != OutcomeUnknown {
				t.Errorf("lease %v, error %v; want a refusal as unknown", lease, err)
			}
		})
	}
}
