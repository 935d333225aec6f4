package boottime

import "time"

// Now is the time by a clock that goes on while the machine is suspended. Its times may be
// compared with one another only.
func Now() time.Time { return time.Now().Add(Suspended()) }
