package dispatch

import (
	"testing"
	"time"
)

// A token is of no use to a host that stood still: others have had the room since.
func TestTokenGrowsOld(t *testing.T) {
	taken := time.Unix(1_700_000_000, 0)
	token := &sendToken{takenAt: taken}
	if token.isOld(taken.Add(tokenLife)) {
		t.Error("it is old before its time")
	}
	if !token.isOld(taken.Add(tokenLife + time.Nanosecond)) {
		t.Error("it is never old")
	}
}
