package policy

import (
	"testing"
	"time"
)

// Routes of one service differ in their work. The typical latency, and thereby what is overdue,
// depends on the request's own route.
func TestLatencyIsTrackedPerRoute(t *testing.T) {
	const short, long = 3 * time.Millisecond, 210 * time.Millisecond
	table, now := newTable()
	v := view(1)
	for range 200 {
		for group, took := range map[string]time.Duration{"short": short, "long": long} {
			table.Finish(now, mustPick(t, table, now, v, Request{FirstAttempt: true, Group: group}), Result{Outcome: Good, FirstByte: took})
		}
	}
	svc, row := table.service("s"), table.servers[key{"s", "b0"}]
	for group, want := range map[string]time.Duration{"short": short, "long": long} {
		if got := table.typicalLatency(svc, group); got < want/2 || got > 2*want {
			t.Errorf("%s: typical latency %s, want about %s", group, got, want)
		}
	}
	logOddsAfter := func(group string, age time.Duration) float64 {
		p := mustPick(t, table, now, v, Request{FirstAttempt: true, Group: group})
		defer table.Finish(now, p, Result{Outcome: Neutral})
		return row.unansweredLogOdds(now.Add(age), svc)
	}
	if evidence := logOddsAfter("long", long/2); evidence > 0.2 {
		t.Errorf("a long request counts as overdue after half of its typical latency: log odds %.2f", evidence)
	}
	if evidence := logOddsAfter("short", long/2); evidence < overdueLogOdds {
		t.Errorf("a short request does not count as overdue after %s: log odds %.2f", long/2, evidence)
	}
}
