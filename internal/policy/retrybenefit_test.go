package policy

import (
	"testing"
	"time"
)

func candidate(now time.Time, priority int) Request {
	return Request{Service: "s", FleetSize: 10, Priority: priority, Objective: time.Second, ReceivedAt: now, Deadline: now.Add(2 * time.Second)}
}

// While requests of two priorities need retries, those of the lower one leave as many as the others
// have lately needed. First come, first served, they took half of them.
func TestLowPriorityLeavesRetries(t *testing.T) {
	table, now := retryTable("h1", 0, 40)
	for range 2 {
		table.AllowRetryOf(now, candidate(now, 0), false)
	}
	low := table.AllowRetryOf(now, candidate(now, 2), false)
	if !low.Allowed || low.Kept != 2 {
		t.Fatalf("%+v: want a retry with 2 of 3.6 left", low)
	}
	sendRetry(t, table, now, 10)
	low = table.AllowRetryOf(now, candidate(now, 2), false)
	if low.Allowed || low.Wait != 0 || table.service("s").budget.wantsRetry(now) {
		t.Errorf("%+v: the low priority has what others need, or asks for more", low)
	}
	for range 2 {
		if !table.AllowRetryOf(now, candidate(now, 0), false).Allowed {
			t.Error("the high priority has none of what was left to it")
		}
		sendRetry(t, table, now, 10)
	}
	if later := now.Add(needHorizon + needHorizon/4); table.keptForBetter(later, table.service("s"), 0.25) != 0 {
		t.Error("retries are left to requests that need none any more")
	}
}

// A request that can hardly be in time leaves retries to those that can.
func TestLateRequestLeavesRetries(t *testing.T) {
	table, now := retryTable("h1", 0, 40)
	late := candidate(now.Add(-1990*time.Millisecond), 0)
	if in, out := table.retryBenefit(now, table.service("s"), candidate(now, 0)), table.retryBenefit(now, table.service("s"), late); in < 0.9 || out > 0.5 {
		t.Errorf("benefit %.2f in time, %.2f hardly in time", in, out)
	}
	table.AllowRetryOf(now, candidate(now, 0), false)
	if got := table.AllowRetryOf(now, late, false).Kept; got != 1 {
		t.Errorf("%g retries left by a request that is late, want 1", got)
	}
}

// With one kind of request the allowance is spent as without the rule.
func TestOneKindChangesNothing(t *testing.T) {
	ruled, now := retryTable("h1", 0.2, 40)
	plain, _ := retryTable("h1", 0.2, 40)
	plain.started = ruled.started
	for i := range 200 {
		sendFirst(t, ruled, now, 10)
		sendFirst(t, plain, now, 10)
		a, b := ruled.AllowRetryOf(now, candidate(now, 1), false), plain.AllowRetry(now, "s", 10)
		if a != b {
			t.Fatalf("request %d: %+v, without the rule %+v", i, a, b)
		}
		if a.Allowed {
			sendRetry(t, ruled, now, 10)
			sendRetry(t, plain, now, 10)
		}
		now = now.Add(40 * time.Millisecond)
	}
}
