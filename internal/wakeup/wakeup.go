// Package wakeup tracks the earliest time at which time-dependent state must be processed again.
package wakeup

import "time"

// Next is the earliest time added since the last Reset. The zero value holds no time. It is
// not safe for concurrent use.
type Next struct{ at time.Time }

// Add lowers the wake-up time to at unless an earlier one is set. A zero time is ignored.
func (n *Next) Add(at time.Time) {
	if !at.IsZero() && (n.at.IsZero() || at.Before(n.at)) {
		n.at = at
	}
}

// Time returns the earliest time, or the zero time if none is set.
func (n *Next) Time() time.Time { return n.at }

// Reset clears the wake-up time.
func (n *Next) Reset() { n.at = time.Time{} }
