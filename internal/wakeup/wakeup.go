// Package wakeup keeps when a table that goes by time must be looked at next.
package wakeup

import "time"

// Next is the earliest of the times that were added since its last Reset; the zero value has
// none. It is not safe for concurrent use.
type Next struct{ at time.Time }

// Add makes it a time, or leaves an earlier one. The zero time stands for none.
func (n *Next) Add(at time.Time) {
	if !at.IsZero() && (n.at.IsZero() || at.Before(n.at)) {
		n.at = at
	}
}

// Time returns it, zero for none.
func (n *Next) Time() time.Time { return n.at }

// Reset forgets all times.
func (n *Next) Reset() { n.at = time.Time{} }
