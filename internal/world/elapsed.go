package world

import "time"

// Elapsed returns the time from start to end by the monotonic or the wall
// clock, whichever is longer: the monotonic clock stands still while a machine
// is suspended, and the wall clock can be set back.
func Elapsed(start, end time.Time) time.Duration {
	return max(end.Sub(start), end.Round(0).Sub(start.Round(0)))
}

// HasPassed reports whether point has passed according to either clock.
func HasPassed(now, point time.Time) bool {
	return Elapsed(point, now) > 0
}

// UnixEpoch is a time before all events.
var UnixEpoch = time.Unix(0, 0)
