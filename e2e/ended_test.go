package e2e

import (
	"context"
	"fmt"
	"testing"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// endingTarget is what a request asks for that ends the servers which run it.
const endingTarget = "/shop/read/ends-servers"

// One read ended every server that began to run it, and its caller sent it again and again,
// each time through another host. Hosts knew a request by its ID alone, which is new each
// time, so that each arrival got all the servers that its route allows: 22 servers ended
// under one read, 9 of them after it had ended the third. The logs show one such arrival as
// "i-61280ffd46 answer-broken took=109ms; i-617952e2f6 answer-broken took=55ms", and at the
// same moment the breaks of all other requests at those servers.
func TestRequestThatEndsServers(t *testing.T) {
	f := startEnding(t, 4, 16)
	for i := range 60 {
		url := "http://" + f.Hosts[i%len(f.Hosts)].CallerAddress()
		r, err := call("GET", url+endingTarget, "")
		if err != nil {
			t.Fatal(err)
		}
		if outcome := r.outcome(); outcome != "unknown" && outcome != "not-run" {
			t.Fatalf("arrival %d: outcome %s: %s", i, outcome, r.body)
		}
		if _, err := call("GET", url+"/shop/read/"+fmt.Sprint(i), ""); err != nil {
			t.Fatal(err)
		}
	}
	// Three servers must end until the request is known, and what is under way then may
	// end three more.
	if n := endedServers(f); n > 6 {
		t.Errorf("%d servers have ended, 6 at most expected", n)
	}
}

func endedServers(f *fleet.Fleet) int {
	n := 0
	for _, b := range f.Backends["shop"] {
		if b.Ended() {
			n++
		}
	}
	return n
}

// startEnding starts hosts that pick directly, before servers that endingTarget ends.
func startEnding(t *testing.T, hosts, servers int) *fleet.Fleet {
	t.Helper()
	service := shop(0)
	for i := range servers {
		service.Backends = append(service.Backends, config.Backend{ID: fmt.Sprintf("b%02d", i)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	conf := fleet.Config{
		Hosts:       hosts,
		DataCentres: []string{"dc1", "dc2"},
		Services:    []config.Service{service},
		Settings:    quick,
		Backend: func(service string, b config.Backend) backend.Config {
			return backend.Config{ID: service + "-" + b.ID, Slots: 8}
		},
	}
	direct(&conf)
	ending(&conf)
	f, err := fleet.StartReady(ctx, conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}
