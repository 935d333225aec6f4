package config

import (
	"fmt"
	"math"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/region"
)

// Customer is one customer of the fleet. If any document defines customers,
// every request requires a customer key unless its route is public.
type Customer struct {
	// Name is unique across all documents and is passed to backend servers.
	Name string `yaml:"name" json:"name,omitempty"`
	// KeyDigests are the digests of the customer's keys, as printed by
	// pearshelf key-digest. Two customers cannot share a key.
	KeyDigests []string `yaml:"key_digests" json:"key_digests,omitempty"`
	// Priority overrides the route's priority; 0 is the highest. Default: the
	// route's.
	Priority *int `yaml:"priority" json:"priority,omitempty"`
	// PerSecond is the sustained rate limit over all hosts together, in requests
	// per second. Default: 0, no limit.
	PerSecond float64 `yaml:"per_second" json:"per_second,omitempty"`
	// Burst is the number of requests allowed in a burst above that rate.
	// Default: 0.
	Burst float64 `yaml:"burst" json:"burst,omitempty"`
	// HomeRegions are the only regions in which the customer's requests may be
	// executed. Default: none, no restriction.
	HomeRegions []string `yaml:"home_regions" json:"home_regions,omitempty"`
}

// Entry converts c to an entry of the customer table. The document must have
// been validated.
func (c *Customer) Entry() customer.Entry {
	entry := customer.Entry{Customer: customer.Customer{
		Name:     c.Name,
		Priority: c.Priority,
		Limit:    customer.Limit{PerSecond: c.PerSecond, Burst: c.Burst},
		Homes:    region.HomesOf(c.HomeRegions),
	}}
	for _, text := range c.KeyDigests {
		if digest, err := customer.ParseDigest(text); err == nil {
			entry.Keys = append(entry.Keys, digest)
		}
	}
	return entry
}

func (v *validator) customers(customers []Customer) {
	names := make(map[string]bool)
	customerByDigest := make(map[string]string) // customer name by key digest
	for i := range customers {
		entry := &customers[i]
		path := fmt.Sprintf("customers[%d]", i)
		v.name(path+".name", entry.Name, names)
		v.rate(path+".per_second", entry.PerSecond)
		v.rate(path+".burst", entry.Burst)
		for k, text := range entry.KeyDigests {
			v.keyDigest(fmt.Sprintf("%s.key_digests[%d]", path, k), text, entry.Name, customerByDigest)
		}
	}
}

func (v *validator) rate(path string, value float64) {
	if value < 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		v.addf("%s: %g must be a finite, non-negative number", path, value)
	}
}

// keyDigest validates one digest. Its errors name customers but never contain
// the text, which may be a plain key.
func (v *validator) keyDigest(path, text, name string, customerByDigest map[string]string) {
	if _, err := customer.ParseDigest(text); err != nil {
		v.addf("%s: invalid key digest; use pearshelf key-digest to create one", path)
		return
	}
	if owner, assigned := customerByDigest[text]; assigned && owner != name {
		v.addf("%s: key is already assigned to customer %q", path, owner)
	}
	customerByDigest[text] = name
}
