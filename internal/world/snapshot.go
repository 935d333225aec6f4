package world

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/route"
)

// BackendView is a backend server in rotation.
type BackendView struct {
	ID      string
	Address string
	Slots   int
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
	Config   *config.Service
	Backends []BackendView
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

// Snapshot is an immutable view for the request path.
type Snapshot struct {
	Self Identity
	// FreshUntil is until when non-idempotent requests may be sent.
	FreshUntil time.Time
	// Ready is whether a configuration is in force.
	Ready   bool
	Leaving bool
	// Distrust is set while this host's own network looks faulty.
	Distrust bool
	Routes   *route.Table
	Services map[string]*ServiceView
	// Claimants are the hosts among which idempotency keys are spread, with
	// their addresses. They come from the platform's list, which does not
	// shrink when the fleet is cut apart.
	Claimants       []rendezvous.Node
	ClaimantAddress map[string]string
}
