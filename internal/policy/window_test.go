package policy

import (
	"testing"
	"time"
)

// The newest buckets of a window contain only recent events, and none of a previous cycle.
func TestWindowNewestBuckets(t *testing.T) {
	const length = 2 * time.Second
	now := time.Now()
	var w window
	for i := range 100 { // one each 50 ms, over 5 s
		w.add(now.Add(time.Duration(i)*50*time.Millisecond), length, 1)
	}
	end := now.Add(99 * 50 * time.Millisecond)
	if whole := w.sum(end, length); whole < 40 || whole > 42 {
		t.Errorf("%d in 2 s, want about 41", whole)
	}
	if half := w.newest(end, length, windowBuckets/2); half < 19 || half > 20 {
		t.Errorf("%d in the newest half, want about 20", half)
	}
	if late := w.newest(end.Add(length), length, windowBuckets/2); late != 0 {
		t.Errorf("%d left after a time without events, want 0", late)
	}
}

// A service with many requests counts as degraded as soon as the last second shows it.
func TestDegradationIsDetectedWithinASecond(t *testing.T) {
	var svc service
	now := time.Now()
	for i := range 300 { // 2 s at 150 requests a second, all served
		svc.served.add(now.Add(time.Duration(i)*time.Second/150), outcomeWindow, 1)
	}
	now = now.Add(2 * time.Second)
	if svc.isDegraded(now) {
		t.Fatal("degraded although all requests were served")
	}
	for i := range 120 { // 0.8 s in which one in ten is not
		at := now.Add(time.Duration(i) * time.Second / 150)
		if i%10 == 0 {
			svc.unserved.add(at, outcomeWindow, 1)
		} else {
			svc.served.add(at, outcomeWindow, 1)
		}
	}
	if !svc.isDegraded(now.Add(800 * time.Millisecond)) {
		t.Error("not degraded although one in ten requests was unserved for 0.8 s")
	}
}
