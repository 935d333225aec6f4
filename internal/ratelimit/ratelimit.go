// Package ratelimit keeps the rate limits that backend servers name in their answers: the
// requests a second that a server takes from all hosts together.
//
// A limit binds the sum over all hosts, so a host that has not heard the server itself must
// know it too: each limit is a register that all hosts hold, written by a host whose answer
// says something new. What all hosts send is kept within it by package quota.
//
// The package is pure but for the lock of Listener: time is passed in.
package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/process"
)

const (
	// heldFor is how long a limit is held after a host has last told it. The hosts that
	// hear it again tell it again after half of that time.
	heldFor = 2 * time.Minute
	// leastHold is how long a value is held before a higher one, or none, replaces it: a
	// server that says something else with each answer is taken at its lowest.
	leastHold = time.Second
	// samePart is the part by which two values differ that count as one.
	samePart = 0.02
	// maxLimits bounds the servers whose limits are held, some 200 bytes each.
	maxLimits = 4096
	// leastPerSecond is what a server with a lower limit gets all the same, from all hosts
	// together: no answer could end a limit of none.
	leastPerSecond = 0.1
	// burstSeconds of its rate may come to a server at one moment, beside one request:
	// requests do not come at even distances.
	burstSeconds = 0.5
)

// Limit is the rate limit of a server.
type Limit struct {
	Server process.Server
	// PerSecond is the requests a second as the server names it.
	PerSecond float64
	// Since is when a host first heard that the server has a limit, LearnedAt when this
	// host learned the value, and Until when it is forgotten unless it is heard again.
	Since     time.Time
	LearnedAt time.Time
	Until     time.Time
	// HeardBy is the host that heard the value.
	HeardBy string
}

// Allowed is the requests a second that hosts send.
func (l Limit) Allowed() float64 { return math.Max(l.PerSecond, leastPerSecond) }

// Burst is how many requests may come at one moment.
func (l Limit) Burst() float64 { return 1 + burstSeconds*l.Allowed() }

// Bound is the limit as package quota keeps it.
func (l Limit) Bound() customer.Limit {
	return customer.Limit{PerSecond: l.Allowed(), Burst: l.Burst()}
}

// isAbout reports whether the limit's value is another one.
func (l Limit) isAbout(perSecond float64) bool {
	return math.Abs(l.PerSecond-perSecond) <= samePart*l.PerSecond
}

// View is the limits of all servers, as all hosts have them. It does not change.
type View struct {
	limits map[process.Key]Limit
	// cold are the limits of servers that have just started.
	cold map[process.Key]Limit
}

// NewView returns a view of limits.
func NewView(limits []Limit) *View {
	v := &View{limits: make(map[process.Key]Limit, len(limits))}
	for _, l := range limits {
		v.limits[l.Server.Key()] = l
	}
	return v
}

// Empty reports whether no server has a limit.
func (v *View) Empty() bool { return v == nil || len(v.limits)+len(v.cold) == 0 }

// isFull reports whether no further limit is held.
func (v *View) isFull() bool { return v != nil && len(v.limits) >= maxLimits }

// Of returns the limit of a server's process; false if it has none.
func (v *View) Of(server process.Server) (Limit, bool) {
	limit, known := v.Bound(server.Key())
	if !known || server.IsNewerThan(limit.Server) {
		return Limit{}, false
	}
	return limit, true
}

// Bound returns what binds a server whatever its process: the limit that it names or the one
// of its cold time, the lower if there are both.
func (v *View) Bound(key process.Key) (Limit, bool) {
	if v.Empty() {
		return Limit{}, false
	}
	named, isNamed := v.limits[key]
	cold, isCold := v.cold[key]
	if isCold && (!isNamed || cold.PerSecond < named.PerSecond) {
		return cold, true
	}
	return named, isNamed
}

// Named returns the limit that a server names, whatever its process.
func (v *View) Named(key process.Key) (Limit, bool) {
	if v.Empty() {
		return Limit{}, false
	}
	held, known := v.limits[key]
	return held, known
}

// All returns the limits by service and server.
func (v *View) All() []Limit {
	if v.Empty() {
		return nil
	}
	return slices.SortedFunc(maps.Values(v.limits), func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Server.Service, b.Server.Service), cmp.Compare(a.Server.ID, b.Server.ID))
	})
}
