package dispatch

import (
	"testing"
	"time"
)

// Leave to send is of no use to a host that stood still: others have had the room since.
func TestLeaveGrowsOld(t *testing.T) {
	taken := time.Unix(1_700_000_000, 0)
	l := &leave{takenAt: taken}
	if l.isOld(taken.Add(leaveLife)) {
		t.Error("it is old before its time")
	}
	if !l.isOld(taken.Add(leaveLife + time.Nanosecond)) {
		t.Error("it is never old")
	}
}
