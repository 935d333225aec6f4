package customer

import "github.com/pearshelf/pearshelf/internal/region"

// Customer is the configuration of a customer.
type Customer struct {
	// Name is passed to backend servers.
	Name string
	// Priority overrides that of the route, with 0 the highest; nil keeps that of the route.
	Priority *int
	// Limit applies to all hosts together.
	Limit Limit
	// Homes are the regions in which its requests may be run.
	Homes region.Homes
}

// Limit bounds the rate of requests.
type Limit struct {
	// PerSecond is the sustained rate in requests a second, 0 for no limit.
	PerSecond float64
	// Burst is the number of requests that may come at once in excess of that rate.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// Table finds a customer by its key. It is immutable after Build and safe for
// concurrent use.
type Table struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
}

// Entry is a customer and the digests of its keys.
type Entry struct {
	Customer
	Keys []Digest
}

// Build returns a table of the entries. Their keys and names must be unique.
func Build(entries []Entry) *Table {
	t := &Table{byKey: make(map[Digest]*Customer), byName: make(map[string]*Customer, len(entries))}
	for i := range entries {
		c := &entries[i].Customer
		t.byName[c.Name] = c
		for _, key := range entries[i].Keys {
			t.byKey[key] = c
		}
	}
	return t
}

// Empty reports whether there are no customers. Requests then need no key.
func (t *Table) Empty() bool { return len(t.byName) == 0 }

// ByKey returns the customer that holds a key, or nil.
func (t *Table) ByKey(key string) *Customer { return t.byKey[DigestOf(key)] }

// ByName returns the customer of the given name, or nil.
func (t *Table) ByName(name string) *Customer { return t.byName[name] }
