package replay

import (
	"slices"
	"time"
)

// spending is what all hosts together sent to a service's servers, in order of time.
type spending struct {
	requests []time.Duration // first sends
	repeats  []time.Duration // sends of requests that a server had before
}

func (s *spending) note(at time.Duration, repeat bool) {
	if repeat {
		s.repeats = append(s.repeats, at)
	} else {
		s.requests = append(s.requests, at)
	}
}

// most is the largest part of the fleet's retry allowance that was spent in any window:
// above 1 the fleet sent more than it may.
func (s *spending) most(rule Retry) float64 {
	most := 0.0
	for _, end := range s.repeats {
		begin := end - time.Duration(rule.Window)
		allowance := rule.Share*float64(within(s.requests, begin, end)) + rule.Reserve
		most = max(most, float64(within(s.repeats, begin, end))/allowance)
	}
	return most
}

// within counts the times after begin and up to end.
func within(times []time.Duration, begin, end time.Duration) int {
	first, _ := slices.BinarySearch(times, begin+1)
	last, _ := slices.BinarySearch(times, end+1)
	return last - first
}
