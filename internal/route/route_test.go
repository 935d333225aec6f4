package route_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/route"
)

func TestLongestPrefixWins(t *testing.T) {
	table := route.Build([]*config.Service{
		{Name: "own", Routes: []config.Route{{Path: "/a"}, {Path: "/a/b", Idempotent: true}}},
	}, []config.Route{
		{Host: "x.example", Path: "/a/", Split: []config.Share{{Service: "shared", Weight: 1}}, Timeout: config.Duration(time.Second), Attempts: 2},
		{Path: "/", Split: []config.Share{{Service: "rest", Weight: 1}}},
	})
	cases := []struct{ host, path, service string }{
		{"x.example", "/a/c", "shared"},
		{"X.EXAMPLE", "/a/b/c", "own"}, // longer, though for any host
		{"x.example", "/a", "own"},     // "/a/" is below /a only
		{"y.example", "/a/", "own"},    // "/a" is also what is below
		{"y.example", "/ab", "rest"},   // whole segments only
		{"y.example", "/", "rest"},
	}
	for _, c := range cases {
		match, ok := table.Lookup(c.host, "GET", c.path)
		if !ok || match.Service != c.service {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, match.Service, c.service)
		}
	}
	if match, _ := table.Lookup("x.example", "GET", "/a/c"); match.Timeout != time.Second || match.Attempts != 2 || match.Idempotent {
		t.Errorf("the shared route's own settings are lost: %+v", match)
	}
}

func TestNoRoute(t *testing.T) {
	table := route.Build(nil, []config.Route{{Host: "x.example", Path: "/a/", Split: []config.Share{{Service: "s", Weight: 1}}}})
	for _, path := range []string{"/", "/a", "/b/", "/ab/c"} {
		if match, ok := table.Lookup("x.example", "GET", path); ok {
			t.Errorf("%s goes to %s", path, match.Service)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	table := route.Build(nil, []config.Route{{Path: "/", Split: []config.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "none", Weight: 0}}}})
	const draws = 40_000
	counts := make(map[string]int)
	for range draws {
		match, _ := table.Lookup("h", "GET", "/p")
		counts[match.Service]++
	}
	// 0.75 of 40,000 draws has a standard deviation of 87
	if a := counts["a"]; a < 29_400 || a > 30_600 || counts["none"] != 0 || a+counts["b"] != draws {
		t.Errorf("draws %v, want 3 to 1", counts)
	}
}
