package policy

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

const work = 200 * time.Millisecond

// warmUp serves requests on all servers, so that typical latencies are known.
func warmUp(t *testing.T, table *Table, now time.Time, v *world.ServiceView) {
	t.Helper()
	for range 10 {
		for _, b := range v.Backends {
			sendTo(t, table, now, v, b.ID, Result{Outcome: Good, FirstByte: work})
		}
	}
}

// singleServer is a view of one server of v.
func singleServer(v *world.ServiceView, i int) *world.ServiceView {
	return &world.ServiceView{Backends: v.Backends[i : i+1]}
}

// An unanswered request raises the failure belief of its server while it waits, at this host and at
// its peers, and its answer reverts that.
func TestWaitingRequestIsEvidence(t *testing.T) {
	table, now := newTable()
	peer, _ := newTable()
	v := view(2)
	warmUp(t, table, now, v)
	warmUp(t, peer, now, v)
	waiting := mustPick(t, table, now, singleServer(v, 0), Request{FirstAttempt: true})
	near, _ := table.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	later := now.Add(4 * work)
	for name, tab := range map[string]*Table{"the host": table, "its peer": peer} {
		svc, row := tab.service("s"), tab.servers[key{"s", "b0"}]
		before, after := row.health.probabilityAt(later), row.belief(later, svc)
		if after < 5*before || after < 0.3 {
			t.Errorf("%s: belief %.3f after four times the typical latency, %.3f without the waiting request", name, after, before)
		}
		if early := row.belief(now.Add(work/2), svc); early > 1.1*row.health.probabilityAt(now.Add(work/2)) {
			t.Errorf("%s: belief %.3f after half of the typical latency", name, early)
		}
	}
	table.Finish(later, waiting, Result{Outcome: Good, FirstByte: 4 * work})
	near, _ = table.Changes(later)
	peer.Report(later, "h2", 1, near, true)
	for name, tab := range map[string]*Table{"the host": table, "its peer": peer} {
		if belief := tab.servers[key{"s", "b0"}].belief(later, tab.service("s")); belief > 0.1 {
			t.Errorf("%s: belief %.3f after the answer", name, belief)
		}
	}
}

// The evidence of an abandoned request is kept, and reported to other hosts.
func TestAbandonedRequestIsEvidence(t *testing.T) {
	table, now := newTable()
	peer, _ := newTable()
	v := view(1)
	warmUp(t, table, now, v)
	warmUp(t, peer, now, v)
	near, _ := table.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	before := peer.servers[key{"s", "b0"}].health.probabilityAt(now)
	sendTo(t, table, now, v, "b0", Result{Outcome: Abandoned, Elapsed: 4 * work})
	near, _ = table.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	for name, tab := range map[string]*Table{"the host": table, "its peer": peer} {
		if belief := tab.servers[key{"s", "b0"}].health.probabilityAt(now); belief < 5*before {
			t.Errorf("%s: belief %.3f, %.3f before", name, belief, before)
		}
	}
}

// A request that times out after hardly any time is no evidence against the server.
func TestShortDeadlineIsNoEvidence(t *testing.T) {
	table, now := newTable()
	v := view(1)
	warmUp(t, table, now, v)
	before := table.servers[key{"s", "b0"}].health.probabilityAt(now)
	sendTo(t, table, now, v, "b0", Result{Outcome: Failed, TimedOut: true, Elapsed: work / 4})
	if after := table.servers[key{"s", "b0"}].health.probabilityAt(now); after > 1.2*before {
		t.Errorf("belief rose from %.3f to %.3f", before, after)
	}
}

// A report includes the age of the host's oldest request, so that a lost report does not reset the
// evidence.
func TestReportIncludesOldestRequest(t *testing.T) {
	table, now := newTable()
	v := view(1)
	warmUp(t, table, now, v)
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", InFlight: 1, Requests: 1, OldestMs: 900}}, true)
	svc, row := table.service("s"), table.servers[key{"s", "b0"}]
	if row.unansweredLogOdds(now, svc) < overdueLogOdds {
		t.Errorf("evidence %.2f of a request that has waited 900 ms, typical latency %s", row.unansweredLogOdds(now, svc), work)
	}
}

// A copy is considered once most answers would have come, and sent if another server is expected to
// do better than waiting, but not while the servers of the data centre are full.
func TestReview(t *testing.T) {
	table, now := newTable()
	now = now.Add(time.Minute)
	table.conf.Retry = RetryRule{Share: 0.2, Reserve: 20, Window: 10 * time.Second}
	v := view(3)
	warmUp(t, table, now, v)
	req := Request{Service: "s", DataCentre: "dc1", Idempotent: true, FirstAttempt: true, Objective: 3 * work, ReceivedAt: now, Deadline: now.Add(10 * work), FleetSize: 1}
	waiting := mustPick(t, table, now, v, req)
	req.Exclude = []string{waiting.Server.ID}
	if copyNow, after := table.ReviewCopy(now.Add(work/2), v, req, waiting); copyNow || after <= 0 {
		t.Errorf("after half of the typical latency: copy %t, next review in %s", copyNow, after)
	}
	if copyNow, _ := table.ReviewCopy(now.Add(2*work), v, req, waiting); !copyNow {
		t.Error("no copy after twice the typical latency")
	}
	if copyNow, after := table.ReviewCopy(now.Add(11*work), v, req, waiting); copyNow || after != 0 {
		t.Errorf("after the deadline: copy %t, next review in %s", copyNow, after)
	}
	for range 3 * 3 * maxRequestsPerSlot {
		if _, err := table.Pick(now, v, Request{Service: "s", DataCentre: "dc1"}); err != nil {
			break
		}
	}
	if copyNow, _ := table.ReviewCopy(now.Add(work*3/2), v, req, waiting); copyNow {
		t.Error("copy sent while all servers are full")
	}
}

// A request that no server can answer before its deadline is refused immediately; one with enough
// time is not, nor is one whose latency is not known from recent answers.
func TestRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	table, now := newTable()
	v := view(1)
	warmUp(t, table, now, v)
	req := Request{Service: "s", DataCentre: "dc1", FirstAttempt: true, ReceivedAt: now, Deadline: now.Add(work / 8), Objective: time.Second}
	if _, err := table.Pick(now.Add(2*routeLatencyTTL), v, req); err != nil {
		t.Errorf("no recent answer: %v: refused requests bring no answers that could correct the typical latency", err)
	}
	unknown := req
	unknown.Group = "new"
	if _, err := table.Pick(now, v, unknown); err != nil {
		t.Errorf("a route without any answer: %v", err)
	}
	if _, err := table.Pick(now, v, req); errs.KindOf(err) != errs.KindQueueFull {
		t.Errorf("an eighth of the typical latency left: %v, want %s", err, errs.KindQueueFull)
	}
	req.Deadline = now.Add(5 * work)
	if _, err := table.Pick(now, v, req); err != nil {
		t.Errorf("five times the typical latency left: %v", err)
	}
}

// A standing queue is detected by the share of late answers in the data centre, including those of
// other hosts.
func TestLateAnswersOfPeersCount(t *testing.T) {
	table, now := newTable()
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s"}}, true)
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Good: 20, Late: 10}}, true)
	if share := table.service("s").lateShare(now); share != 0.5 {
		t.Errorf("share of late answers %.2f, want 0.50", share)
	}
	if share := table.service("s").lateShare(now.Add(2 * outcomeWindow)); share != 0 {
		t.Errorf("share of late answers %.2f later, want 0", share)
	}
}

// If the whole service is slow, waiting requests are caused by the load and are no evidence against
// a server.
func TestSlowServiceIsNoEvidence(t *testing.T) {
	table, now := newTable()
	v := view(1)
	warmUp(t, table, now, v)
	mustPick(t, table, now, v, Request{FirstAttempt: true})
	svc, row := table.service("s"), table.servers[key{"s", "b0"}]
	later := now.Add(4 * work)
	if row.unansweredLogOdds(later, svc) < overdueLogOdds {
		t.Fatalf("evidence %.2f of a request that has waited four times the typical latency", row.unansweredLogOdds(later, svc))
	}
	table.Report(later, "h2", 7, []*peerpb.BackendLoad{{Service: "s"}}, true)
	table.Report(later, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Good: 100, Late: 40}}, true)
	later = later.Add(time.Millisecond)
	if evidence := row.unansweredLogOdds(later, svc); evidence > 0.1 {
		t.Errorf("evidence %.2f while answers of the service are late", evidence)
	}
}
