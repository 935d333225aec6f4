package config

import "fmt"

// Discovered is the value of the backends key: the self-registered backend
// servers of services that list none in their document. It is either a full
// list or a delta to an earlier revision.
type Discovered struct {
	// Base is the revision that a delta applies to, 0 for a full list.
	Base uint64 `yaml:"base" json:"base,omitempty"`
	// Digest is the digest of the full list after the delta is applied; see
	// package registry. Default: 0, unknown.
	Digest uint64 `yaml:"digest" json:"digest,omitempty"`
	// Evacuated are the data centres whose servers receive no requests. A delta
	// also contains the complete set. Default: none.
	Evacuated []string `yaml:"evacuated" json:"evacuated,omitempty"`
	// Removed are the IDs of servers that a delta removes.
	Removed []string `yaml:"removed" json:"removed,omitempty"`
	// AbsenceGrace is the remaining time for which the registration of a live
	// server may be missing because the platform is recovering from an outage.
	// Default: 0.
	AbsenceGrace Duration `yaml:"absence_grace" json:"absence_grace,omitempty"`
	// Backends are all servers, or those that a delta adds or replaces.
	Backends []DiscoveredBackend `yaml:"backends" json:"backends,omitempty"`
}

// DiscoveredBackend is one registered backend server.
type DiscoveredBackend struct {
	Service string `yaml:"service" json:"service,omitempty"`
	Backend `yaml:",inline"`
}

// ParseDiscovered parses and validates the registered backend servers. Invalid
// entries are omitted and reported in faults, so that one bad registration does
// not affect the others.
func ParseDiscovered(raw []byte) (found *Discovered, faults []string, err error) {
	found = &Discovered{}
	if err := decode(raw, found); err != nil {
		return nil, nil, err
	}
	check := &validator{}
	ids := make(map[string]bool)
	valid := found.Backends[:0]
	for i, b := range found.Backends {
		before := len(check.faults)
		check.discovered(fmt.Sprintf("backends[%d]", i), b, ids)
		if len(check.faults) == before {
			valid = append(valid, b)
		}
	}
	found.Backends = valid
	return found, check.faults, nil
}

func (v *validator) discovered(path string, b DiscoveredBackend, ids map[string]bool) {
	v.backend(path, b.Backend, ids)
	v.identifier(path+".service", b.Service)
}

// Validate validates a single entry.
func (b DiscoveredBackend) Validate() error {
	check := &validator{}
	check.discovered("backend", b, make(map[string]bool))
	return check.err()
}
