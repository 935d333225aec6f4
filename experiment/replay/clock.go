package replay

import (
	"container/heap"
	"time"
)

// epoch is an arbitrary start of simulated time.
var epoch = time.Unix(1_000_000_000, 0)

// timer is something that happens at a time.
type timer struct {
	at      time.Duration
	order   int // of scheduling, for equal times
	do      func()
	stopped bool
}

// clock is simulated time: it runs what is scheduled, in order.
type clock struct {
	now    time.Duration
	timers timers
	order  int
}

// after schedules do and returns a timer that can be stopped.
func (c *clock) after(d time.Duration, do func()) *timer {
	c.order++
	t := &timer{at: c.now + max(d, 0), order: c.order, do: do}
	heap.Push(&c.timers, t)
	return t
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// run goes on until nothing is left to do, or end.
func (c *clock) run(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(*timer)
		c.now = t.at
		if !t.stopped {
			t.do()
		}
	}
}

type timers []*timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(*timer)) }
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
