package policy

import (
	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/world"
)

// isAvailable reports whether a server takes requests, by its own report.
func (r Request) isAvailable(b *world.BackendView) bool {
	return r.reason(b).TakesRequests()
}

// isLimited reports whether a server announces a rate limit.
func (r Request) isLimited(b *world.BackendView) bool {
	if r.RateLimits.Empty() {
		return false
	}
	_, limited := r.RateLimits.Of(availability.ServerOf(r.Service, b))
	return limited
}

func (r Request) reason(b *world.BackendView) availability.Reason {
	if r.Availability.Empty() {
		return availability.Available
	}
	reason, _ := r.Availability.Of(availability.ServerOf(r.Service, b))
	return reason
}

// returnsOneByOne reports whether a server that has rested is limited to one request of this host
// at a time, until an answer shows that it has capacity. Servers that asked for rest at the same
// time return at the same time, together with the requests that waited for them, which would
// overload them again.
func (t *Table) returnsOneByOne(req Request, b *world.BackendView) bool {
	return t.has(MechanismReturnOneByOne) && req.reason(b) == availability.Returning
}
