// Package region restricts the regions in which a request may be run. A route and a customer may
// each specify home regions; if both do, both restrictions apply. A request with homes is sent to
// no backend server and no host in another region, nor is anything that carries its body, key or
// answer.
//
// The package does no I/O.
package region

import (
	"slices"
	"strings"
)

// Map maps data centres to their regions.
type Map map[string]string

// Homes are the regions in which a request may be run. The zero value allows all regions.
type Homes struct {
	bound   bool
	regions []string // sorted
}

// HomesOf returns the homes for a list of regions. An empty list means no restriction.
func HomesOf(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	return Homes{bound: true, regions: slices.Compact(slices.Sorted(slices.Values(regions)))}
}

// Intersect returns the intersection of two homes. If it is empty, no region is allowed.
func (h Homes) Intersect(other Homes) Homes {
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

// Restricted reports whether there is a restriction.
func (h Homes) Restricted() bool { return h.bound }

// Allows reports whether the region of a data centre is allowed. If it is unknown, it is not.
func (h Homes) Allows(regions Map, dataCentre string) bool {
	if !h.bound {
		return true
	}
	region, known := regions[dataCentre]
	return known && slices.Contains(h.regions, region)
}

// String returns the regions for logs, empty if there is no restriction.
func (h Homes) String() string {
	if h.bound && len(h.regions) == 0 {
		return "none in common"
	}
	return strings.Join(h.regions, ",")
}
