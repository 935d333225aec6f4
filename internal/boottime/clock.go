package boottime

import "time"

// Now returns the time on a clock that keeps running while the machine is suspended. The
// results are comparable only with one another.
func Now() time.Time { return time.Now().Add(Suspended()) }
