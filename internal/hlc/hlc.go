// Package hlc implements a hybrid logical clock (Kulkarni et al., 2014): its timestamps
// follow the wall clock and preserve causal order.
package hlc

import (
	"sync"
	"time"
)

const (
	// counterBits is the width of the logical counter in the low bits of a timestamp.
	counterBits = 16

	// MaxAhead is how far ahead of the local wall clock a received timestamp may be.
	// Timestamps beyond it are rejected: otherwise a host with a fast clock would win
	// every later write.
	MaxAhead = 10 * time.Minute
)

// Timestamp consists of 48 bits of Unix milliseconds followed by a 16-bit counter.
type Timestamp uint64

// FromTime returns the smallest timestamp at t.
func FromTime(t time.Time) Timestamp {
	return Timestamp(uint64(t.UnixMilli()) << counterBits)
}

// Time returns the wall-clock component.
func (ts Timestamp) Time() time.Time {
	return time.UnixMilli(int64(ts >> counterBits))
}

// Clock issues monotonically increasing timestamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a timestamp greater than any returned or observed before.
func (c *Clock) Now(wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromTime(wall))
	return c.last
}

// Observe advances the clock to a received timestamp. It leaves the clock unchanged and
// returns false if the timestamp is more than MaxAhead in the future.
func (c *Clock) Observe(wall time.Time, ts Timestamp) bool {
	if ts > FromTime(wall.Add(MaxAhead)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, ts)
	return true
}
