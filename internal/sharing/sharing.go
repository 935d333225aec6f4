// Package sharing decides which backend servers each host uses and which hosts receive its
// reports about them. Every host picks servers independently. If all hosts used all servers,
// the reports between hosts would grow with the number of hosts of a data centre, each host
// would see too few requests to a server to judge it, and its connections would be cold. Each
// host therefore uses a subset, and shares its reports with the hosts whose subsets contain the
// same servers (a deterministic aperture).
//
// The hosts of a data centre form a ring ordered by hash, and so do a service's servers of each
// data centre. A host uses the servers in the arc that begins at its own position. Each server is
// thus in the arcs of about the same number of hosts, whatever the set of hosts, and arcs change
// little when a host joins or leaves. With few hosts an arc is the whole ring.
//
// The functions of the package are pure.
package sharing

import "maps"

// Rule determines the width of arcs.
type Rule struct {
	// Hosts is the number of hosts of a data centre that share a server. Larger values give each
	// host more reports about a server's requests and cost more messages: each request is reported
	// twice to this many hosts.
	Hosts int
	// Servers is the minimum number of servers of a data centre that a host uses, if the service
	// has that many: during a wave of failures a third of the servers is out of use.
	Servers int
}

// DefaultRule returns the rule for fleets of any size. In fleets of about twelve hosts per data
// centre subsets contain all servers.
func DefaultRule() Rule { return Rule{Hosts: 8, Servers: 6} }

// width returns the fraction of a ring of servers that each host of a data centre uses.
func (r Rule) width(hosts, servers int) float64 {
	if hosts == 0 || servers == 0 {
		return 1
	}
	return min(max(float64(r.Hosts)/float64(hosts), float64(r.Servers)/float64(servers)), 1)
}

// Host is a live host.
type Host struct {
	Name       string
	Address    string // IP:port of the peer listener
	DataCentre string
	// RelaysLoads is whether it passes on reports to the other hosts of its data centre.
	RelaysLoads bool
}

// Fleet is the set of live hosts, arranged on a ring per data centre.
type Fleet struct {
	rule      Rule
	self      Host
	rings     map[string]*ring // by data centre
	addresses map[string]string
	relays    map[string]bool // addresses of hosts that pass on reports
	segment   []string        // addresses of the other hosts, see Segment
	segmentID uint32          // distinguishes this host's segment from all others, in reports
}

// NewFleet arranges the live hosts: self, which is this host, and others.
func NewFleet(rule Rule, self Host, others []Host) *Fleet {
	f := &Fleet{rule: rule, self: self, rings: make(map[string]*ring), addresses: make(map[string]string, len(others)), relays: make(map[string]bool)}
	names := map[string][]string{self.DataCentre: {self.Name}}
	for _, h := range others {
		names[h.DataCentre] = append(names[h.DataCentre], h.Name)
		f.addresses[h.Name] = h.Address
		if h.RelaysLoads {
			f.relays[h.Address] = true
		}
	}
	for dataCentre, hosts := range names {
		f.rings[dataCentre] = newRing(hosts)
	}
	local := f.rings[self.DataCentre]
	parts := max(local.len()/max(rule.Hosts, 1), 1)
	segment := local.segment(self.Name, parts)
	f.segment = f.addressesOf(segment)
	f.segmentID = uint32(hashOf(segment[0]).hash)
	return f
}

// addressesOf returns the addresses of the named hosts except this one.
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

// Segment returns the addresses of the other hosts with which this one shares state of a service as
// a whole, such as its retry allowance. Segments are disjoint: overlapping segments could spend the
// same allowance twice.
func (f *Fleet) Segment() []string { return f.segment }

// SegmentSize returns the number of hosts in this host's segment, including this host.
func (f *Fleet) SegmentSize() int { return len(f.segment) + 1 }

// Service is the set of servers of a service, arranged on a ring per data centre. It is immutable.
type Service struct {
	rings map[string]*ring // by data centre
}

// NewService arranges servers; dataCentres maps server names to data centres.
func NewService(dataCentres map[string]string) *Service {
	joined := make([]Server, 0, len(dataCentres))
	for name, dataCentre := range dataCentres {
		joined = append(joined, Server{Name: name, DataCentre: dataCentre})
	}
	return (&Service{}).Updated(joined, nil)
}

// Server is a server of a service.
type Server struct {
	Name       string
	DataCentre string
}

// Updated returns the service after servers have joined and left. Rings of data centres without
// changes are reused.
func (s *Service) Updated(joined, left []Server) *Service {
	added, removed := namesByDataCentre(joined), namesByDataCentre(left)
	next := &Service{rings: maps.Clone(s.rings)}
	if next.rings == nil {
		next.rings = make(map[string]*ring)
	}
	for dataCentre := range removed {
		if _, both := added[dataCentre]; !both {
			added[dataCentre] = nil
		}
	}
	for dataCentre, names := range added {
		next.rings[dataCentre] = next.rings[dataCentre].updated(names, removed[dataCentre])
	}
	return next
}

func namesByDataCentre(servers []Server) map[string][]string {
	names := make(map[string][]string)
	for _, s := range servers {
		names[s.DataCentre] = append(names[s.DataCentre], s.Name)
	}
	return names
}

// locate returns the ring that contains a server and the position of the server on it.
func (s *Service) locate(server string) (servers *ring, position float64, ok bool) {
	for _, r := range s.rings {
		if position, ok := r.position(server); ok {
			return r, position, true
		}
	}
	return nil, 0, false
}

// Subset returns the servers that this host uses.
func (f *Fleet) Subset(s *Service) []string {
	subset, _ := f.SubsetOf(f.self.Name, s)
	return subset
}

// SubsetOf returns the servers that a host of this data centre uses; known is false if it is not among
// the live hosts.
func (f *Fleet) SubsetOf(host string, s *Service) (subset []string, known bool) {
	own := f.rings[f.self.DataCentre]
	start, known := own.position(host)
	if !known && host != f.self.Name {
		return nil, false
	}
	for _, servers := range s.rings {
		subset = append(subset, servers.arc(start, f.rule.width(own.len(), servers.len()))...)
	}
	return subset, known
}

// Recipients returns the addresses of the other hosts of a data centre whose subsets contain a
// server.
func (f *Fleet) Recipients(s *Service, server, dataCentre string) []string {
	servers, position, ok := s.locate(server)
	if !ok {
		return nil
	}
	hosts := f.rings[dataCentre]
	return f.addressesOf(hosts.covering(position, f.rule.width(hosts.len(), servers.len())))
}

// forEachRemoteDataCentre calls fn for each data centre, other than this host's, that has hosts.
func (f *Fleet) forEachRemoteDataCentre(fn func(dataCentre string)) {
	for dataCentre := range f.rings {
		if dataCentre != f.self.DataCentre {
			fn(dataCentre)
		}
	}
}
