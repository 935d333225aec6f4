// Package region says in which regions a request may be run. A route and a customer may name
// home regions; both bind where both do. A request with homes is sent to no backend server
// and no host of another region, nor is anything that carries its body, key or answer.
//
// The package is pure.
package region

import (
	"slices"
	"strings"
)

// Map gives the region of each data centre.
type Map map[string]string

// Homes are the regions in which a request may be run. The zero value allows all.
type Homes struct {
	bound   bool
	regions []string // in order
}

// HomesOf returns the homes that a list names; an empty list binds nothing.
func HomesOf(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	return Homes{bound: true, regions: slices.Compact(slices.Sorted(slices.Values(regions)))}
}

// And returns the homes that are in both; where they have none in common nothing is allowed.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.bound:
		return other
	case !other.bound:
		return h
	}
	both := Homes{bound: true}
	for _, region := range h.regions {
		if slices.Contains(other.regions, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}

// Bound reports whether there are homes.
func (h Homes) Bound() bool { return h.bound }

// Allow reports whether a data centre is in a home. One whose region is not known is in none.
func (h Homes) Allow(regions Map, dataCentre string) bool {
	if !h.bound {
		return true
	}
	region, known := regions[dataCentre]
	return known && slices.Contains(h.regions, region)
}

// String names the regions, as logs have them; empty if there are no homes.
func (h Homes) String() string {
	if h.bound && len(h.regions) == 0 {
		return "none in common"
	}
	return strings.Join(h.regions, ",")
}
