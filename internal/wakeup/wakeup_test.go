package wakeup_test

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/wakeup"
)

func TestEarliestTimeWins(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var next wakeup.Next
	next.Add(time.Time{})
	if !next.Time().IsZero() {
		t.Error("adding the zero time set a wake-up time")
	}
	for _, at := range []time.Time{now.Add(2), now.Add(1), now.Add(3), {}} {
		next.Add(at)
	}
	if !next.Time().Equal(now.Add(1)) {
		t.Errorf("wake-up time is %s, want the earliest time added", next.Time())
	}
	next.Reset()
	if !next.Time().IsZero() {
		t.Error("a wake-up time is still set after Reset")
	}
}
