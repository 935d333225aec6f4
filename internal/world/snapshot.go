package world

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/quarantine"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/sharing"
)

// BackendView is a backend server in rotation.
type BackendView struct {
	ID         string
	Address    string
	DataCentre string
	Slots      int
	// Warmup is how much longer the server is slow after its start, as of the
	// time the value was published.
	Warmup time.Duration
	// Started is when the server's process started, in Unix milliseconds, 0 if
	// not reported.
	Started int64
	// JoinedAt is when the server joined, zero if it was there before this host.
	JoinedAt time.Time
	// SlotShare is the number of slots assigned to this host; see SharesSlots.
	SlotShare      int
	IdempotentOnly bool
	Weight         float64
	Node           rendezvous.Node
}

// OwnerView is an owner host in this host's data centre.
type OwnerView struct {
	Host    string
	Address string
}

// RelayHost is another host that requests may be relayed through.
type RelayHost struct {
	OwnerView
	DataCentre string
}

// ServiceView is the request path's view of a service.
type ServiceView struct {
	Config *config.Service
	// Backends are the servers in rotation, ordered by ID. With direct picking, Subset holds the
	// servers that this host uses unless none of them can serve, and Sharing determines which
	// other hosts use them.
	Backends []BackendView
	Subset   []BackendView
	Sharing  *sharing.Service
	// ShortestObjective and LongestObjective are the extremes of the latency objectives of the
	// service's routes, 0 if none has one.
	ShortestObjective, LongestObjective time.Duration
	// Owners are the owners in this data centre other than this host, in rank
	// order; the first ActiveOwners of them are active.
	Owners       []OwnerView
	ActiveOwners int
	// SelfOwner is whether this host is an active owner.
	SelfOwner bool
	// OwnerCount is the number of active owners in the fleet, at least 1.
	OwnerCount int
	// SharesSlots is whether each slot is assigned to one active owner and this
	// host is one of them. Otherwise this host relies on reported load alone.
	SharesSlots bool
}

// Candidates returns the servers to which this host sends requests first.
func (v *ServiceView) Candidates() []BackendView {
	if v.Subset != nil {
		return v.Subset
	}
	return v.Backends
}

// InDataCentres returns a copy of the view that has only the servers of allowed data centres.
func (v *ServiceView) InDataCentres(allowed func(dataCentre string) bool) *ServiceView {
	outside := func(b BackendView) bool { return !allowed(b.DataCentre) }
	restricted := *v
	restricted.Backends = slices.DeleteFunc(slices.Clone(v.Backends), outside)
	if v.Subset != nil {
		restricted.Subset = slices.DeleteFunc(slices.Clone(v.Subset), outside)
	}
	return &restricted
}

// Backend returns the server in rotation with the given ID, or nil.
func (v *ServiceView) Backend(id string) *BackendView {
	i, found := slices.BinarySearchFunc(v.Backends, id, func(b BackendView, id string) int { return cmp.Compare(b.ID, id) })
	if !found {
		return nil
	}
	return &v.Backends[i]
}

// Snapshot is an immutable view of the world for the request path.
type Snapshot struct {
	Self Identity
	// FreshUntil is the time until which requests may be sent to backend servers.
	FreshUntil time.Time
	// Suspended is the total time that the machine had been suspended since boot when this
	// snapshot was made; see package boottime.
	Suspended time.Duration
	// Revisions are the revisions of the documents in force, by key.
	Revisions map[string]uint64
	// Ready is whether a configuration is in force.
	Ready   bool
	Leaving bool
	// NetworkSuspect is set while this host's own network appears to be faulty.
	NetworkSuspect bool
	Routes         *route.Table
	Services       map[string]*ServiceView
	// Customers are the customers that may use non-public routes.
	Customers *customer.Table
	// LiveHosts is the number of live hosts, including this one.
	LiveHosts int
	// Relays are the other hosts whose path to the backend servers works. HostsWithoutPath is the
	// number of hosts of this data centre, including this one, that have lost theirs. HostsRelay is
	// set if any other host takes relayed requests while its path works.
	Relays           []RelayHost
	HostsWithoutPath int
	HostsRelay       bool
	// FarHosts has the peer addresses of the known hosts, true for those of other data centres.
	FarHosts map[string]bool
	// FarHostNames has their names.
	FarHostNames map[string]bool
	// HostsVersion increases with every change to the host table.
	HostsVersion uint64
	// Homes are the hosts that may keep the rate limits of customers, including this one.
	// Reachable are this host and the hosts that are not suspected of failure. Settled is
	// whether this host has had time to learn of the others.
	Homes     []rendezvous.Node
	Reachable map[string]bool
	Settled   bool
	// Quarantine lists the request contents that are refused because they crash servers.
	Quarantine *quarantine.View
	// RateLimits holds the limits that backend servers set on the request rate from all
	// hosts together.
	RateLimits *ratelimit.View
	// Sharing determines the hosts with which this host exchanges data about servers.
	Sharing *sharing.Fleet
	// FleetSize is the largest number of hosts seen live at the same time.
	FleetSize int
	// ClaimCandidates are the hosts over which idempotency keys are distributed, with
	// their addresses in ClaimCandidateAddresses. They come from the platform's host list,
	// which does not shrink during a network partition.
	ClaimCandidates         []rendezvous.Node
	ClaimCandidateAddresses map[string]string
}

// Fresh reports whether requests may be sent to backend servers by this view. suspended is
// the total time that the machine has been suspended since boot. It is needed because
// FreshUntil is compared by the monotonic clock, which stands still during a suspension.
func (s *Snapshot) Fresh(now time.Time, suspended time.Duration) bool {
	suspendedSince := suspended - s.Suspended
	return !HasPassed(now, s.FreshUntil) && now.Add(suspendedSince).Sub(s.FreshUntil) <= 0
}

// ServiceRings returns the hash rings of a service's servers, or nil if there is no such
// service.
func (s *Snapshot) ServiceRings(name string) *sharing.Service {
	view, ok := s.Services[name]
	if !ok {
		return nil
	}
	return view.Sharing
}
