package config

import (
	"fmt"
	"math"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/region"
)

// Customer is one customer of the fleet. Where any document has customers, every
// request needs a key of one of them, unless its route is public.
type Customer struct {
	// Name is unique over all documents; backend servers are told it.
	Name string `yaml:"name" json:"name,omitempty"`
	// KeyDigests are the digests of its keys, as pearshelf key-digest prints them. No
	// two customers may hold the same key.
	KeyDigests []string `yaml:"key_digests" json:"key_digests,omitempty"`
	// Priority goes before that of the route, 0 the highest. Default: the route's.
	Priority *int `yaml:"priority" json:"priority,omitempty"`
	// PerSecond is the sustained rate over all hosts together, in requests a second.
	// Default: 0, no limit.
	PerSecond float64 `yaml:"per_second" json:"per_second,omitempty"`
	// Burst is how many requests may come at once beyond that. Default: 0.
	Burst float64 `yaml:"burst" json:"burst,omitempty"`
	// HomeRegions are the only regions in which its requests may be run. Default: none, and
	// they may be run anywhere.
	HomeRegions []string `yaml:"home_regions" json:"home_regions,omitempty"`
}

// Entry returns the customer's row. The document must have passed its checks.
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

func (c *checker) customers(customers []Customer) {
	names := make(map[string]bool)
	holders := make(map[string]string) // customer's name by digest
	for i := range customers {
		one := &customers[i]
		at := fmt.Sprintf("customers[%d]", i)
		c.name(at+".name", one.Name, names)
		c.rate(at+".per_second", one.PerSecond)
		c.rate(at+".burst", one.Burst)
		for k, text := range one.KeyDigests {
			c.keyDigest(fmt.Sprintf("%s.key_digests[%d]", at, k), text, one.Name, holders)
		}
	}
}

func (c *checker) rate(at string, value float64) {
	if value < 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		c.addf("%s: %g must be a number from 0 on", at, value)
	}
}

// keyDigest checks one digest. It names customers, never digests.
func (c *checker) keyDigest(at, text, name string, holders map[string]string) {
	if _, err := customer.ParseDigest(text); err != nil {
		c.addf("%s: is no digest of a key; pearshelf key-digest prints one", at)
		return
	}
	if holder, held := holders[text]; held && holder != name {
		c.addf("%s: customer %q holds the same key", at, holder)
	}
	holders[text] = name
}
