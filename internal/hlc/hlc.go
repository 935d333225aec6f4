// Package hlc is a hybrid logical clock (Kulkarni et al., 2014): timestamps
// that follow the wall clock and still order causes before effects.
package hlc

import (
	"sync"
	"time"
)

const (
	// counterBits is the width of the logical counter below the milliseconds.
	counterBits = 16

	// MaxAhead is how far ahead of the local wall clock a received timestamp
	// may be. A host whose clock is further ahead is not followed, so that it
	// cannot win every later write.
	MaxAhead = 10 * time.Minute
)

// Timestamp holds 48 bits of Unix milliseconds and 16 bits of counter.
type Timestamp uint64

// FromTime returns the smallest timestamp at t.
func FromTime(t time.Time) Timestamp {
	return Timestamp(uint64(t.UnixMilli()) << counterBits)
}

// Time returns the wall-clock part.
func (ts Timestamp) Time() time.Time {
	return time.UnixMilli(int64(ts >> counterBits))
}

// Clock is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a timestamp greater than all returned or observed before.
func (c *Clock) Now(wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromTime(wall))
	return c.last
}

// Observe moves the clock past a received timestamp. It reports false, and
// does nothing, if the timestamp is more than MaxAhead in the future.
func (c *Clock) Observe(wall time.Time, ts Timestamp) bool {
	if ts > FromTime(wall.Add(MaxAhead)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, ts)
	return true
}
