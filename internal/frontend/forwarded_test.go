package frontend

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/dispatch"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/world"
)

// capture is a Dispatcher that keeps the last request.
type capture struct{ last *dispatch.Request }

func (c *capture) Serve(_ http.ResponseWriter, req *dispatch.Request) error {
	c.last = req
	return nil
}

func (c *capture) RecordRefusal(*dispatch.Request, *dispatch.Refusal) {}

// A forwarded request counts as idempotent only if no configuration of the two hosts says otherwise, to
// whichever service the route leads in each. Guards against running a non-idempotent request twice
// while the entry host has an older configuration.
func TestForwardedRequestIsIdempotentIfBothHostsSaySo(t *testing.T) {
	split := []config.Share{{Service: "old", Weight: 1}, {Service: "new", Weight: 1}}
	for name, c := range map[string]struct {
		routes []config.Route
		want   bool
	}{
		"idempotent here":                               {[]config.Route{{Path: "/x/", Split: split[:1], Idempotent: true}}, true},
		"not idempotent here":                           {[]config.Route{{Path: "/x/", Split: split[:1]}}, false},
		"moved, not idempotent here":                    {[]config.Route{{Path: "/x/", Split: split[1:]}}, false},
		"split, not idempotent here":                    {[]config.Route{{Path: "/x/", Split: split}}, false},
		"a part of it, not idempotent here":             {[]config.Route{{Path: "/x/", Split: split[:1], Idempotent: true}, {Path: "/x/y/", Split: split[1:]}}, false},
		"split, idempotent here":                        {[]config.Route{{Path: "/x/", Split: split, Idempotent: true}}, true},
		"not routed here, the entry host's word counts": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			snap := &world.Snapshot{Routes: route.Build(nil, c.routes), Customers: customer.Build(nil)}
			dispatched := &capture{}
			f := New(Config{Protocol: protocol.Default()}, func() *world.Snapshot { return snap }, dispatched, metrics.New(prometheus.NewRegistry()))
			for i := range 20 { // a split route leads to each of its services
				r := httptest.NewRequest(http.MethodPost, "/x/y/z", nil)
				r.Header.Set(dispatch.HeaderForwardedBy, "h2")
				r.Header.Set(dispatch.HeaderService, "old")
				r.Header.Set(dispatch.HeaderIdempotent, "true")
				r.Header.Set(protocol.HeaderDeadline, "1000")
				r.Header.Set(protocol.HeaderRequestID, fmt.Sprint("r", i))
				f.ForwardHandler().ServeHTTP(httptest.NewRecorder(), r)
				if dispatched.last == nil {
					t.Fatal("the request was not accepted")
				}
				if dispatched.last.Idempotent != c.want {
					t.Fatalf("idempotent: %t, want %t", dispatched.last.Idempotent, c.want)
				}
			}
		})
	}
}
