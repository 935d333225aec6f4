package pathloss

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func unreachable(d *Detector, now time.Time, servers int) {
	for i := range servers {
		d.Unreachable(now, fmt.Sprint("b", i))
	}
}

func TestSeveralUnreachableServersAreALoss(t *testing.T) {
	for _, c := range []struct {
		unreachable, known int
		lost               bool
	}{{0, 10, false}, {1, 10, false}, {2, 10, false}, {3, 10, true}, {1, 1, true}, {1, 2, false}, {2, 2, true}, {0, 0, false}} {
		d := &Detector{}
		unreachable(d, start, c.unreachable)
		if got := d.Lost(start, c.known); got != c.lost {
			t.Errorf("%d of %d servers unreachable: lost %t, want %t", c.unreachable, c.known, got, c.lost)
		}
	}
}

// The same server failing again and again says nothing about the others.
func TestOneServerIsNoLoss(t *testing.T) {
	d := &Detector{}
	for i := range 10 {
		d.Unreachable(start.Add(time.Duration(i)*100*time.Millisecond), "b0")
	}
	if d.Lost(start.Add(time.Second), 5) {
		t.Error("one unreachable server counts as a loss of the path")
	}
}

func TestReachedServerEndsALoss(t *testing.T) {
	d := &Detector{}
	unreachable(d, start, 5)
	d.Reached()
	if d.Lost(start, 5) || d.IsUnreachable(start, "b1") {
		t.Error("still lost after a server was reached")
	}
	unreachable(d, start, 2)
	if d.Lost(start, 5) {
		t.Error("servers found unreachable before one was reached count")
	}
}

func TestOldFailuresDoNotCount(t *testing.T) {
	d := &Detector{}
	unreachable(d, start, 3)
	later := start.Add(failureTTL + time.Millisecond)
	if d.Lost(later, 5) || d.IsUnreachable(later, "b0") {
		t.Error("lost without a recent failure")
	}
	d.Unreachable(later, "b0")
	if d.Count(later) != 1 || len(d.unreachable) != 1 {
		t.Errorf("%d servers count, %d are kept, want 1", d.Count(later), len(d.unreachable))
	}
}
