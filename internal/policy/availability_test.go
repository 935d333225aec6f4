package policy

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/ratelimit"
)

// reportedStates returns the availability that results from the reports of servers.
func reportedStates(now time.Time, reports map[string]protocol.ServerState) availability.TableView {
	table := availability.NewTable(func() time.Time { return now })
	for id, report := range reports {
		table.Record(process.Server{Service: "s", ID: id}, report)
	}
	return table.Now()
}

// A server that reports that it takes no requests receives neither first sends nor copies nor
// trials, not even while too few servers are in use. If there is no other server, none is picked.
func TestServersThatTakeNoRequestsAreNotPicked(t *testing.T) {
	for name, report := range map[string]protocol.ServerState{"leaving": {Leaving: true}, "resting": {Rest: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			table, now := newTable()
			v := view(3)
			sendTo(t, table, now, v, "b0", Result{Outcome: Failed})
			now = now.Add(10 * time.Second) // b0 is overdue for coverage and for a trial
			moment := reportedStates(now, map[string]protocol.ServerState{"b0": report})
			for _, idempotent := range []bool{true, false} {
				for range 50 {
					got := mustPick(t, table, now, v, Request{FirstAttempt: true, Idempotent: idempotent, Availability: moment})
					if got.Server.ID == "b0" {
						t.Fatal("b0 is picked")
					}
					table.Finish(now, got, Result{Outcome: Good, FirstByte: time.Millisecond})
				}
			}
			req := Request{Service: "s", DataCentre: "dc1", Idempotent: true, Availability: moment}
			if got, due := table.PlaceTrial(now, v, req); due {
				t.Errorf("%s is tried", got.Server.ID)
			}
			all := reportedStates(now, map[string]protocol.ServerState{"b0": report, "b1": report, "b2": report})
			req.Availability = all
			if _, err := table.Pick(now, v, req); errs.KindOf(err) != errs.KindNoBackendServer {
				t.Errorf("no server available: %v", err)
			}
		})
	}
}

// A server that has rested gets one request of this host, and more once that is answered.
func TestServerReturnsWithOneRequest(t *testing.T) {
	now := time.Now()
	at := now
	reports := availability.NewTable(func() time.Time { return at })
	server := process.Server{Service: "s", ID: "b0"}
	reports.Record(server, protocol.ServerState{Rest: time.Second})
	at = now.Add(time.Second)
	table, _ := newTable()
	v := view(1)
	req := Request{Service: "s", DataCentre: "dc1", FirstAttempt: true, Availability: reports.Now()}
	first := mustPick(t, table, at, v, req)
	if _, err := table.Pick(at, v, req); err == nil {
		t.Error("a second request goes to the server before the first is answered")
	}
	table.Finish(at, first, Result{Outcome: Good, FirstByte: time.Millisecond})
	reports.Record(server, protocol.ServerState{})
	req.Availability = reports.Now()
	mustPick(t, table, at, v, req)
	mustPick(t, table, at, v, req)
}

// rateLimitsOf is a view in which the given servers announce a rate limit.
func rateLimitsOf(ids ...string) *ratelimit.View {
	var limits []ratelimit.Limit
	for _, id := range ids {
		limits = append(limits, ratelimit.Limit{Server: process.Server{Service: "s", ID: id}, PerSecond: 2})
	}
	return ratelimit.NewView(limits)
}

// A server that announces a rate limit gets fewer requests than the others, but is not left out of
// use. It receives no copies and no trials.
func TestRateLimitedServersAreAvoided(t *testing.T) {
	table, now := newTable()
	v := view(3)
	limits := rateLimitsOf("b0")
	limited := 0
	const picks = 60
	for range picks {
		now = now.Add(100 * time.Millisecond)
		got := mustPick(t, table, now, v, Request{FirstAttempt: true, RateLimits: limits})
		if got.Server.ID == "b0" {
			limited++
		}
		table.Finish(now, got, Result{Outcome: Good, FirstByte: time.Millisecond})
	}
	if limited == 0 || limited > picks/6 {
		t.Errorf("the rate-limited server got %d of %d requests", limited, picks)
	}
	req := Request{Idempotent: true, RateLimits: limits, Exclude: []string{"b1", "b2"}}
	if got := mustPick(t, table, now, v, req); got.Server.ID != "b0" {
		t.Errorf("picked %s, want b0, the only server not excluded", got.Server.ID)
	}
	req.Parallel, req.Service, req.DataCentre = true, "s", "dc1"
	if got, err := table.Pick(now, v, req); err == nil {
		t.Errorf("a copy is sent to rate-limited %s", got.Server.ID)
	}
	sendTo(t, table, now, v, "b0", Result{Outcome: Failed})
	if got, due := table.PlaceTrial(now.Add(10*time.Second), v, req); due {
		t.Errorf("%s is tried", got.Server.ID)
	}
}
