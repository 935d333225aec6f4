// Package boottime tells for how long a machine has been suspended. Go's steady clock is
// CLOCK_MONOTONIC, which stands still meanwhile; CLOCK_BOOTTIME does not, and unlike the
// time of day nobody sets it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the machine has been suspended since it booted, 0 where
// the system has no such clock. It takes some 0.1 us.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return max(time.Duration(boot.Nano()-steady.Nano())-readApart, 0)
}

// readApart is how far apart the two clocks may be read on a busy machine: a shorter
// suspension is no matter.
const readApart = 10 * time.Millisecond
