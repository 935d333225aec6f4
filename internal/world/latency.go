package world

import (
	"slices"
	"time"
)

const (
	latencySampleSize = 128
	latencySampleMin  = 16

	// slowFactor is the multiple of the median above which a response is slow.
	slowFactor = 3
	// slowMargin is added to the threshold so that jitter of fast services does not
	// count as slow.
	slowMargin = 5 * time.Millisecond
	// medianInterval is the number of additions after which the median is recomputed.
	medianInterval = 16
)

// LatencySample estimates the usual time to first byte of a service from its most
// recent responses across all backend servers.
type LatencySample struct {
	values []time.Duration
	next   int
	added  int
	median time.Duration
}

// Add records one time to first byte.
func (s *LatencySample) Add(d time.Duration) {
	if len(s.values) < latencySampleSize {
		s.values = append(s.values, d)
	} else {
		s.values[s.next] = d
		s.next = (s.next + 1) % latencySampleSize
	}
	s.added++
	if s.added%medianInterval == 0 {
		sorted := slices.Clone(s.values)
		slices.Sort(sorted)
		s.median = sorted[len(sorted)/2]
	}
}

// Median returns the median of the sample, or 0 until there are enough values.
func (s *LatencySample) Median() time.Duration {
	if s.added < latencySampleMin {
		return 0
	}
	return s.median
}

// SlowAfter returns the time to first byte above which a response counts as slow,
// or 0 while the median is unknown.
func (s *LatencySample) SlowAfter() time.Duration {
	median := s.Median()
	if median == 0 {
		return 0
	}
	return slowFactor*median + slowMargin
}
