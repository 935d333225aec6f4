// Package ratelimit tracks the rate limits that backend servers announce in their answers: the
// requests a second that a server takes from all hosts together.
//
// A limit bounds the sum over all hosts, so hosts must know it without an answer of their own. Each
// limit is a replicated register, written by a host that receives an answer with a change. Package
// quota enforces the limits.
//
// The package does no I/O and does not read the clock; Listener is the only type with a lock.
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
	// limitTTL is the lifetime of a limit after its last report. Hosts that still receive it
	// renew it after half of that time.
	limitTTL = 2 * time.Minute
	// minHold is the minimum time before a higher value, or none, replaces a limit: if a
	// server announces a different value with each answer, the lowest applies.
	minHold = time.Second
	// valueTolerance is the relative difference within which two values are considered equal.
	valueTolerance = 0.02
	// maxLimits bounds the number of limits, of about 200 bytes each.
	maxLimits = 4096
	// minPerSecond is the rate sent to a server whose limit is lower, from all hosts together.
	// With no requests at all, no answer could end a limit of 0.
	minPerSecond = 0.1
	// burstSeconds sets the burst, beside one request, in seconds of the rate: requests do not
	// arrive at even intervals.
	burstSeconds = 0.5
)

// Limit is the rate limit of a server.
type Limit struct {
	Server process.Server
	// PerSecond is the announced value in requests a second.
	PerSecond float64
	// Since is when a host first learned that the server has a limit, LearnedAt when this host
	// learned the current value, and Until when it expires unless it is renewed.
	Since     time.Time
	LearnedAt time.Time
	Until     time.Time
	// ReportedBy is the host that received the value from the server.
	ReportedBy string
}

// Allowed returns the rate that hosts may send, in requests a second.
func (l Limit) Allowed() float64 { return math.Max(l.PerSecond, minPerSecond) }

// Burst returns how many requests may be sent at once.
func (l Limit) Burst() float64 { return 1 + burstSeconds*l.Allowed() }

// Bound returns the limit in the form that package quota enforces.
func (l Limit) Bound() customer.Limit {
	return customer.Limit{PerSecond: l.Allowed(), Burst: l.Burst()}
}

// isSimilar reports whether a value equals the limit within valueTolerance.
func (l Limit) isSimilar(perSecond float64) bool {
	return math.Abs(l.PerSecond-perSecond) <= valueTolerance*l.PerSecond
}

// View holds the limits of all servers. It is immutable.
type View struct {
	limits map[process.Key]Limit
	// cold holds the limits of servers in warm-up.
	cold map[process.Key]Limit
}

// NewView returns a view of the given limits.
func NewView(limits []Limit) *View {
	v := &View{limits: make(map[process.Key]Limit, len(limits))}
	for _, l := range limits {
		v.limits[l.Server.Key()] = l
	}
	return v
}

// Empty reports whether no server has a limit.
func (v *View) Empty() bool { return v == nil || len(v.limits)+len(v.cold) == 0 }

// isFull reports whether the number of limits has reached maxLimits.
func (v *View) isFull() bool { return v != nil && len(v.limits) >= maxLimits }

// Of returns the limit of a server's process, or false if it has none.
func (v *View) Of(server process.Server) (Limit, bool) {
	limit, known := v.Bound(server.Key())
	if !known || server.IsNewerThan(limit.Server) {
		return Limit{}, false
	}
	return limit, true
}

// Bound returns the limit of a server whatever its process: the one that it announces or the one
// of its warm-up, whichever is lower.
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

// Named returns the limit that a server announces, whatever its process.
func (v *View) Named(key process.Key) (Limit, bool) {
	if v.Empty() {
		return Limit{}, false
	}
	limit, known := v.limits[key]
	return limit, known
}

// All returns the announced limits, sorted by service and server.
func (v *View) All() []Limit {
	if v.Empty() {
		return nil
	}
	return slices.SortedFunc(maps.Values(v.limits), func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Server.Service, b.Server.Service), cmp.Compare(a.Server.ID, b.Server.ID))
	})
}
