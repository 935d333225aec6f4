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
	// Warmup is how much longer the server is slow after its start, as of when
	// it was published.
	Warmup time.Duration
	// Started is when its process started, in Unix milliseconds, 0 if not told.
	Started int64
	// JoinedAt is when it joined, zero if it was there before this host.
	JoinedAt time.Time
	// Share is how many of the slots are this host's own; see SharesSlots.
	Share          int
	IdempotentOnly bool
	Weight         float64
	Node           rendezvous.Node
}

// OwnerView is an owner host in this host's data centre.
type OwnerView struct {
	Host    string
	Address string
}

// ServiceView is what the request path knows of a service.
type ServiceView struct {
	Config *config.Service
	// Backends are the servers in rotation, ordered by ID. Where hosts pick directly, Subset are those
	// that this host uses unless none of them serves, and Sharing says who else does.
	Backends []BackendView
	Subset   []BackendView
	Sharing  *sharing.Service
	// Owners in this data centre, other than this host, in rank order; the
	// first ActiveOwners of them are active.
	Owners       []OwnerView
	ActiveOwners int
	// SelfOwner is whether this host is an active owner.
	SelfOwner bool
	// OwnerCount is the number of active owners over the fleet, at least 1.
	OwnerCount int
	// SharesSlots is whether each slot belongs to one active owner, of which
	// this host is one. Otherwise this host goes by reported load alone.
	SharesSlots bool
}

// Candidates are the servers to which this host sends first.
func (v *ServiceView) Candidates() []BackendView {
	if v.Subset != nil {
		return v.Subset
	}
	return v.Backends
}

// Within returns the view with only the servers of some data centres.
func (v *ServiceView) Within(allowed func(dataCentre string) bool) *ServiceView {
	outside := func(b BackendView) bool { return !allowed(b.DataCentre) }
	within := *v
	within.Backends = slices.DeleteFunc(slices.Clone(v.Backends), outside)
	if v.Subset != nil {
		within.Subset = slices.DeleteFunc(slices.Clone(v.Subset), outside)
	}
	return &within
}

// Backend returns a server in rotation by ID, or nil.
func (v *ServiceView) Backend(id string) *BackendView {
	i, found := slices.BinarySearchFunc(v.Backends, id, func(b BackendView, id string) int { return cmp.Compare(b.ID, id) })
	if !found {
		return nil
	}
	return &v.Backends[i]
}

// Snapshot is an immutable view for the request path.
type Snapshot struct {
	Self Identity
	// FreshUntil is until when non-idempotent requests may be sent.
	FreshUntil time.Time
	// Suspended is for how long the machine had been suspended when this view was made;
	// see package boottime.
	Suspended time.Duration
	// Revisions of the documents in force, by key.
	Revisions map[string]uint64
	// Ready is whether a configuration is in force.
	Ready   bool
	Leaving bool
	// Distrust is set while this host's own network looks faulty.
	Distrust bool
	Routes   *route.Table
	Services map[string]*ServiceView
	// Customers are those who may use routes that are not public.
	Customers *customer.Table
	// LiveHosts is the number of live hosts, this one included.
	LiveHosts int
	// HostsVersion grows with every change of the hosts below.
	HostsVersion uint64
	// Homes are the hosts that may hold customers' limits, this one included; Reachable
	// are those that nothing speaks against. Settled is whether this host has had time to
	// hear of them.
	Homes     []rendezvous.Node
	Reachable map[string]bool
	Settled   bool
	// Quarantine is the contents that are refused because they end servers.
	Quarantine *quarantine.View
	// RateLimits is what servers take from all hosts together, of those that name it.
	RateLimits *ratelimit.View
	// Sharing says with which of them this host shares what it knows of servers.
	Sharing *sharing.Fleet
	// FleetSize is the largest number of hosts that were live at a time.
	FleetSize int
	// Claimants are the hosts among which idempotency keys are spread, with
	// their addresses. They come from the platform's list, which does not
	// shrink when the fleet is cut apart.
	Claimants       []rendezvous.Node
	ClaimantAddress map[string]string
}

// Fresh reports whether the view may be trusted for non-idempotent requests. suspended is
// for how long the machine has been suspended by now: FreshUntil is a point of the steady
// clock, which stood still meanwhile.
func (s *Snapshot) Fresh(now time.Time, suspended time.Duration) bool {
	slept := suspended - s.Suspended
	return !Passed(now, s.FreshUntil) && now.Add(slept).Sub(s.FreshUntil) <= 0
}

// SharedService returns a service's servers on their rings, nil if there is no such
// service.
func (s *Snapshot) SharedService(name string) *sharing.Service {
	view, ok := s.Services[name]
	if !ok {
		return nil
	}
	return view.Sharing
}
