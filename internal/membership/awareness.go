package membership

import "time"

// awareness is Lifeguard's local health score: a host that misses answers or
// is itself suspected waits longer before it blames others.
type awareness struct {
	max   int
	score int
}

func (a *awareness) add(delta int) {
	a.score = min(max(a.score+delta, 0), a.max)
}

func (a *awareness) scale(d time.Duration) time.Duration {
	return d * time.Duration(a.score+1)
}
