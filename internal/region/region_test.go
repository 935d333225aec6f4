package region_test

import (
	"testing"

	"github.com/pearshelf/pearshelf/internal/region"
)

var regions = region.Map{"dc1": "north", "dc2": "north", "dc3": "south"}

func TestHomesOfRouteAndCustomer(t *testing.T) {
	cases := []struct {
		route, customer []string
		dataCentre      string
		allowed         bool
	}{
		{nil, nil, "dc1", true},
		{nil, nil, "unknown", true},
		{[]string{"north"}, nil, "dc2", true},
		{[]string{"north"}, nil, "dc3", false},
		{nil, []string{"south", "south"}, "dc3", true},
		{nil, []string{"south"}, "dc1", false},
		{[]string{"north", "south"}, []string{"south"}, "dc1", false},
		{[]string{"north", "south"}, []string{"south"}, "dc3", true},
		{[]string{"north"}, []string{"south"}, "dc1", false},
		{[]string{"north"}, []string{"south"}, "dc3", false},
		{[]string{"north"}, nil, "unknown", false},
		{[]string{"nowhere"}, nil, "dc1", false},
	}
	for _, c := range cases {
		homes := region.HomesOf(c.route).Intersect(region.HomesOf(c.customer))
		if got := homes.Allows(regions, c.dataCentre); got != c.allowed {
			t.Errorf("homes %v and %v: %s is allowed: %v, want %v", c.route, c.customer, c.dataCentre, got, c.allowed)
		}
		if homes.Restricted() != (len(c.route)+len(c.customer) > 0) {
			t.Errorf("homes %v and %v: Bound returned %v", c.route, c.customer, homes.Restricted())
		}
	}
}
