package membership

import "time"

// awareness is Lifeguard's local health score. A host that misses acknowledgements or is
// suspected itself extends its timeouts before it suspects others.
type awareness struct {
	max   int
	score int
}

func (a *awareness) applyDelta(delta int) {
	a.score = min(max(a.score+delta, 0), a.max)
}

func (a *awareness) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(a.score+1)
}
