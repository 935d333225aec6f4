package world

import (
	"slices"
	"time"
)

const (
	latencySampleSize = 128
	latencySampleMin  = 16

	// slowFactor times the median is slow.
	slowFactor = 3
	// slowSlack keeps jitter of fast services from counting as slow.
	slowSlack = 5 * time.Millisecond
	// medianEvery is how many additions one computed median serves.
	medianEvery = 16
)

// LatencySample estimates a service's usual time to the first byte from its
// newest answers over all backend servers.
type LatencySample struct {
	values []time.Duration
	next   int
	added  int
	median time.Duration
}

// Add takes one time to the first byte.
func (s *LatencySample) Add(d time.Duration) {
	if len(s.values) < latencySampleSize {
		s.values = append(s.values, d)
	} else {
		s.values[s.next] = d
		s.next = (s.next + 1) % latencySampleSize
	}
	s.added++
	if s.added%medianEvery == 0 {
		sorted := slices.Clone(s.values)
		slices.Sort(sorted)
		s.median = sorted[len(sorted)/2]
	}
}

// Median returns the middle of the sample, 0 until there is enough.
func (s *LatencySample) Median() time.Duration {
	if s.added < latencySampleMin {
		return 0
	}
	return s.median
}

// SlowAfter returns the time from which an answer counts as slow, or 0 while
// that is unknown.
func (s *LatencySample) SlowAfter() time.Duration {
	median := s.Median()
	if median == 0 {
		return 0
	}
	return slowFactor*median + slowSlack
}
