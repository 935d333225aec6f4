package customer

import "github.com/pearshelf/pearshelf/internal/region"

// Customer is one row of the table.
type Customer struct {
	// Name is told to backend servers.
	Name string
	// Priority goes before that of the route, 0 the highest, nil to leave it.
	Priority *int
	// Limit is over all hosts together.
	Limit Limit
	// Homes are where its requests may be run.
	Homes region.Homes
}

// Limit bounds the rate of requests.
type Limit struct {
	// PerSecond is the sustained rate in requests a second, 0 for no limit.
	PerSecond float64
	// Burst is how many requests may come at once beyond that rate.
	Burst float64
}

// None reports whether the limit allows everything.
func (l Limit) None() bool { return l.PerSecond <= 0 }

// Table finds a customer by its key. It is immutable after Build and safe for
// concurrent use.
type Table struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
}

// Entry is a customer with the digests of its keys.
type Entry struct {
	Customer
	Keys []Digest
}

// Build makes a table. No two entries may share a key or a name.
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

// Empty reports whether there are no customers: then nobody needs a key.
func (t *Table) Empty() bool { return len(t.byName) == 0 }

// Holder returns the customer that holds a key, nil if none does.
func (t *Table) Holder(key string) *Customer { return t.byKey[DigestOf(key)] }

// Named returns a customer by name, nil if there is none.
func (t *Table) Named(name string) *Customer { return t.byName[name] }
