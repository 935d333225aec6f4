package config

import "fmt"

// Discovered is the value of the backends key: the backend servers that have
// registered themselves, for services that list none of their own. It is the whole list, or
// a change to one.
type Discovered struct {
	// Base is the revision of the list that this changes, 0 for a whole list.
	Base uint64 `yaml:"base" json:"base,omitempty"`
	// Digest is of the whole list after the change; see package registry. Default: 0, not
	// told.
	Digest uint64 `yaml:"digest" json:"digest,omitempty"`
	// Evacuated are the data centres whose servers get no requests. A change names all of
	// them too. Default: none.
	Evacuated []string `yaml:"evacuated" json:"evacuated,omitempty"`
	// Removed are the IDs of servers that are no longer registered, in a change.
	Removed []string `yaml:"removed" json:"removed,omitempty"`
	// AbsenceGrace is how much longer a registration may be missing although its
	// server lives, because the platform has come back from an outage. Default: 0.
	AbsenceGrace Duration `yaml:"absence_grace" json:"absence_grace,omitempty"`
	// Backends are all servers, or those that the change adds or replaces.
	Backends []DiscoveredBackend `yaml:"backends" json:"backends,omitempty"`
}

// DiscoveredBackend is one registered backend server.
type DiscoveredBackend struct {
	Service string `yaml:"service" json:"service,omitempty"`
	Backend `yaml:",inline"`
}

// ParseDiscovered reads and checks the registered backend servers. An entry
// with a fault is left out and named in faults: one bad registration must not
// hide all others.
func ParseDiscovered(raw []byte) (found *Discovered, faults []string, err error) {
	found = &Discovered{}
	if err := decode(raw, found, discoveredLimitBytes); err != nil {
		return nil, nil, err
	}
	check := &checker{}
	ids := make(map[string]bool)
	sound := found.Backends[:0]
	for i, b := range found.Backends {
		before := len(check.faults)
		check.discovered(fmt.Sprintf("backends[%d]", i), b, ids)
		if len(check.faults) == before {
			sound = append(sound, b)
		}
	}
	found.Backends = sound
	return found, check.faults, nil
}

func (c *checker) discovered(at string, b DiscoveredBackend, ids map[string]bool) {
	c.backend(at, b.Backend, ids)
	c.word(at+".service", b.Service)
}

// Check returns the faults of one entry.
func (b DiscoveredBackend) Check() error {
	check := &checker{}
	check.discovered("backend", b, make(map[string]bool))
	return check.err()
}
