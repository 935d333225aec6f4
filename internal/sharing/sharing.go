// Package sharing decides which backend servers a host uses and which hosts are told
// what it does there, where every host picks servers by itself. If all hosts used all
// servers, what hosts tell each other would grow with the hosts of a data centre, each
// would hear of a server too seldom to judge it, and its connections would be cold. So
// each host uses a subset, and shares what it knows with the hosts whose subsets hold the
// same servers (a deterministic aperture).
//
// The hosts of a data centre stand on a ring in the order of their hash, and so do a
// service's servers of each data centre. A host uses the servers in the arc from its own
// place on. Each server is thus in the arcs of the same number of hosts, whatever hosts
// there are, and arcs move by little when a host comes or goes. Where the hosts are few
// an arc is the whole ring.
//
// The package is pure: lists in, lists out.
package sharing

import "maps"

// Rule says how wide arcs are.
type Rule struct {
	// Hosts is how many hosts of a data centre share a server. More know more of a
	// server's requests by each other's word, and cost messages: each request is told
	// to so many hosts twice.
	Hosts int
	// Servers is how many servers of a data centre a host uses at least, where a
	// service has so many: in a spell of failures a third of the servers is out of use.
	Servers int
}

// DefaultRule returns the rule for a fleet of any size. Fleets of some twelve hosts a data
// centre have subsets that are everything.
func DefaultRule() Rule { return Rule{Hosts: 8, Servers: 6} }

// width is the part of a ring of servers that one of so many hosts uses.
func (r Rule) width(hosts, servers int) float64 {
	if hosts == 0 || servers == 0 {
		return 1
	}
	return min(max(float64(r.Hosts)/float64(hosts), float64(r.Servers)/float64(servers)), 1)
}

// Host is a live host.
type Host struct {
	Name       string
	Address    string // of its peer listener, IP:port
	DataCentre string
}

// Fleet is the live hosts on their rings.
type Fleet struct {
	rule      Rule
	self      Host
	rings     map[string]*ring // by data centre
	addresses map[string]string
	segment   []string // see Segment; addresses of the others
}

// NewFleet places the live hosts, of which self is this one.
func NewFleet(rule Rule, self Host, others []Host) *Fleet {
	f := &Fleet{rule: rule, self: self, rings: make(map[string]*ring), addresses: make(map[string]string, len(others))}
	names := map[string][]string{self.DataCentre: {self.Name}}
	for _, h := range others {
		names[h.DataCentre] = append(names[h.DataCentre], h.Name)
		f.addresses[h.Name] = h.Address
	}
	for dataCentre, in := range names {
		f.rings[dataCentre] = newRing(in)
	}
	near := f.rings[self.DataCentre]
	parts := max(near.len()/max(rule.Hosts, 1), 1)
	f.segment = f.addressesOf(near.segment(self.Name, parts))
	return f
}

// addressesOf leaves this host out.
func (f *Fleet) addressesOf(names []string) []string {
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		if address, ok := f.addresses[name]; ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Address returns the address of another live host.
func (f *Fleet) Address(host string) (address string, known bool) {
	address, known = f.addresses[host]
	return address, known
}

// Segment returns the addresses of the other hosts with which this one shares what
// holds for a service as a whole, such as its retry allowance. Segments are disjoint:
// overlapping ones could spend the same allowance twice.
func (f *Fleet) Segment() []string { return f.segment }

// SegmentSize is the number of hosts of this host's segment, itself included.
func (f *Fleet) SegmentSize() int { return len(f.segment) + 1 }

// Service is a service's servers on their rings. It does not change.
type Service struct {
	rings map[string]*ring // by data centre
}

// NewService places servers, whose data centres are given by their names.
func NewService(dataCentres map[string]string) *Service {
	joined := make([]Server, 0, len(dataCentres))
	for name, dataCentre := range dataCentres {
		joined = append(joined, Server{Name: name, DataCentre: dataCentre})
	}
	return (&Service{}).With(joined, nil)
}

// Server is a server on a ring.
type Server struct {
	Name       string
	DataCentre string
}

// With returns the service after servers have joined and left. Rings of data centres without
// either stay as they are.
func (s *Service) With(joined, left []Server) *Service {
	added, gone := namesOf(joined), namesOf(left)
	next := &Service{rings: maps.Clone(s.rings)}
	if next.rings == nil {
		next.rings = make(map[string]*ring)
	}
	for dataCentre := range gone {
		if _, both := added[dataCentre]; !both {
			added[dataCentre] = nil
		}
	}
	for dataCentre, names := range added {
		next.rings[dataCentre] = next.rings[dataCentre].with(names, gone[dataCentre])
	}
	return next
}

func namesOf(servers []Server) map[string][]string {
	names := make(map[string][]string)
	for _, s := range servers {
		names[s.DataCentre] = append(names[s.DataCentre], s.Name)
	}
	return names
}

// find returns the ring on which a server is and its place there.
func (s *Service) find(server string) (on *ring, place float64, ok bool) {
	for _, r := range s.rings {
		if place, ok := r.place(server); ok {
			return r, place, true
		}
	}
	return nil, 0, false
}

// Subset returns the servers that this host uses.
func (f *Fleet) Subset(s *Service) []string {
	own := f.rings[f.self.DataCentre]
	start, _ := own.place(f.self.Name)
	var subset []string
	for _, servers := range s.rings {
		subset = append(subset, servers.arc(start, f.rule.width(own.len(), servers.len()))...)
	}
	return subset
}

// Audience returns the addresses of the other hosts of a data centre whose subsets hold
// a server.
func (f *Fleet) Audience(s *Service, server, dataCentre string) []string {
	servers, place, ok := s.find(server)
	if !ok {
		return nil
	}
	hosts := f.rings[dataCentre]
	return f.addressesOf(hosts.behind(place, f.rule.width(hosts.len(), servers.len())))
}

// otherDataCentres calls do with each data centre other than this host's that has hosts.
func (f *Fleet) otherDataCentres(do func(dataCentre string)) {
	for dataCentre := range f.rings {
		if dataCentre != f.self.DataCentre {
			do(dataCentre)
		}
	}
}
