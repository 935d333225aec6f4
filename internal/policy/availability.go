package policy

import (
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/world"
)

// isAvailable reports whether a server takes requests, as it reports itself.
func (r Request) isAvailable(b *world.BackendView) bool {
	return r.reason(b).TakesRequests()
}

// isLimited reports whether a server names a rate limit.
func (r Request) isLimited(b *world.BackendView) bool {
	if r.RateLimits.Empty() {
		return false
	}
	_, limited := r.RateLimits.Of(availability.ServerOf(r.Service, b))
	return limited
}

func (r Request) reason(b *world.BackendView) availability.Reason {
	if r.Availability.Nothing() {
		return availability.Available
	}
	reason, _ := r.Availability.Of(availability.ServerOf(r.Service, b))
	return reason
}

// returnsOneByOne reports whether a server that has rested gets one request of this host at
// a time, until an answer shows that it has room. Servers that asked for rest at one moment
// come back at one moment, and so do the requests that waited, which would fill them again.
func (t *Table) returnsOneByOne(req Request, b *world.BackendView) bool {
	return t.has(MechanismReturnOneByOne) && req.reason(b) == availability.Returning
}
