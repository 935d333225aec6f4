// Package simtime is a simulated clock: it runs what is scheduled in the order of its
// time, so that the same schedule gives the same run.
package simtime

import (
	"container/heap"
	"time"
)

// Epoch is an arbitrary start of simulated time.
var Epoch = time.Unix(1_000_000_000, 0)

// Timer is something that happens at a time.
type Timer struct {
	at      time.Duration
	order   int // of scheduling, for equal times
	do      func()
	stopped bool
}

// Clock is simulated time; the zero value stands at Epoch.
type Clock struct {
	// Now is the time since Epoch.
	Now    time.Duration
	timers timers
	order  int
}

// After schedules do and returns a timer that can be stopped.
func (c *Clock) After(d time.Duration, do func()) *Timer {
	c.order++
	t := &Timer{at: c.Now + max(d, 0), order: c.order, do: do}
	heap.Push(&c.timers, t)
	return t
}

// Stop keeps a timer from happening.
func (t *Timer) Stop() { t.stopped = true }

// Time is Now as a point in time.
func (c *Clock) Time() time.Time { return Epoch.Add(c.Now) }

// Run does what is scheduled up to end, and leaves the clock there.
func (c *Clock) Run(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(*Timer)
		c.Now = t.at
		if !t.stopped {
			t.do()
		}
	}
	c.Now = max(c.Now, end)
}

type timers []*Timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(*Timer)) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
