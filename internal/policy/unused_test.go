package policy

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/protocol"
)

// expectUseChange calls UseChanges once and expects exactly one change.
func expectUseChange(t *testing.T, table *Table, now time.Time, req Request, want UseChange) {
	t.Helper()
	req.Service, req.DataCentre = "s", "dc1"
	changes := table.UseChanges(now, view(3), req)
	if len(changes) != 1 {
		t.Fatalf("%d changes: %v, want one", len(changes), changes)
	}
	got := changes[0]
	got.Belief, got.Idle = 0, 0
	want.Service = "s"
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func expectNoUseChange(t *testing.T, table *Table, now time.Time) {
	t.Helper()
	if changes := table.UseChanges(now, view(3), Request{Service: "s", DataCentre: "dc1"}); len(changes) > 0 {
		t.Errorf("changes: %v", changes)
	}
}

// A server that gets no request for 2 s is reported once, with the reason, and once more when it
// gets a request again. The other servers stay in use.
func TestServersOutOfUseAreReported(t *testing.T) {
	good := Result{Outcome: Good, FirstByte: 100 * time.Millisecond}
	cases := map[string]struct {
		last    Result // outcome on the server that goes out of use
		reports map[string]protocol.ServerState
		why     UnusedReason
	}{
		"believed to be failing":     {last: Result{Outcome: Failed}, why: UnusedBelief},
		"no objection":               {last: good, why: UnusedNoObjection},
		"asked for rest":             {last: good, reports: map[string]protocol.ServerState{"b0": {Rest: time.Minute}}, why: "resting"},
		"reports that it is leaving": {last: good, reports: map[string]protocol.ServerState{"b0": {Leaving: true}}, why: "leaving"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table, now := newTable()
			v := view(3)
			for _, id := range []string{"b0", "b1", "b2"} {
				sendTo(t, table, now, v, id, good)
			}
			sendTo(t, table, now, v, "b0", c.last)
			expectNoUseChange(t, table, now)
			for range 3 {
				now = now.Add(outOfUse / 3)
				sendTo(t, table, now, v, "b1", good)
				sendTo(t, table, now, v, "b2", good)
			}
			now = now.Add(time.Millisecond)
			req := Request{Availability: reportedStates(now, c.reports)}
			expectUseChange(t, table, now, req, UseChange{Server: "b0", Why: c.why})
			expectNoUseChange(t, table, now)
			sendTo(t, table, now, v, "b0", good)
			expectUseChange(t, table, now, req, UseChange{Server: "b0", InUse: true})
			expectNoUseChange(t, table, now)
		})
	}
}

// A service that has fewer requests than servers has no server out of use.
func TestNoServerIsOutOfUseWithFewRequests(t *testing.T) {
	table, now := newTable()
	v := view(3)
	expectNoUseChange(t, table, now)
	for _, id := range []string{"b0", "b1", "b2"} {
		sendTo(t, table, now, v, id, Result{Outcome: Good, FirstByte: 100 * time.Millisecond})
	}
	expectNoUseChange(t, table, now)
	now = now.Add(10 * outOfUse)
	for _, id := range []string{"b1", "b2"} {
		sendTo(t, table, now, v, id, Result{Outcome: Good, FirstByte: 100 * time.Millisecond})
	}
	expectNoUseChange(t, table, now)
}

// For a server that has never had a request, the time out of use starts with the first check.
func TestNewServerIsOutOfUseFromFirstCheck(t *testing.T) {
	table, now := newTable()
	v := view(3)
	good := Result{Outcome: Good, FirstByte: 100 * time.Millisecond}
	useOthers := func() {
		for _, id := range []string{"b1", "b2", "b1", "b2"} {
			sendTo(t, table, now, v, id, good)
		}
	}
	useOthers()
	table.state(now, key{"s", "b0"}, &v.Backends[0])
	expectNoUseChange(t, table, now)
	now = now.Add(outOfUse)
	useOthers()
	expectUseChange(t, table, now, Request{}, UseChange{Server: "b0", Why: UnusedNoObjection})
}
