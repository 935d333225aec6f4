package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/world"
)

// view is a service of n servers b0, b1, ... in data centre dc1.
func view(n int) *world.ServiceView {
	v := &world.ServiceView{}
	for i := range n {
		v.Backends = append(v.Backends, world.BackendView{ID: fmt.Sprint("b", i), DataCentre: "dc1", Slots: 3, Weight: 1})
	}
	return v
}

func newTable() (*Table, time.Time) {
	now := time.Now()
	return NewTable(now, Config{Cost: DefaultCostRule(), Retry: DefaultRetryRule(), Random: rand.New(rand.NewPCG(1, 2))}), now
}

func mustPick(t *testing.T, table *Table, now time.Time, v *world.ServiceView, req Request) *Placement {
	t.Helper()
	req.Service = "s"
	if req.DataCentre == "" {
		req.DataCentre = "dc1"
	}
	placement, err := table.Pick(now, v, req)
	if err != nil {
		t.Fatal(err)
	}
	return placement
}

// sendTo sends a request to the given server and records its outcome.
func sendTo(t *testing.T, table *Table, now time.Time, v *world.ServiceView, id string, done Result) {
	t.Helper()
	only := &world.ServiceView{}
	for _, b := range v.Backends {
		if b.ID == id {
			only.Backends = append(only.Backends, b)
		}
	}
	table.Finish(now, mustPick(t, table, now, only, Request{FirstAttempt: true}), done)
}

func TestBeliefRisesWithFailuresAndDecays(t *testing.T) {
	now := time.Now()
	s := healthModel{probability: 0.02, at: now}
	s.observeFailure(now)
	once := s.probabilityAt(now)
	s.observeFailure(now)
	twice := s.probabilityAt(now)
	if once < 0.9 || twice < 0.99 {
		t.Errorf("belief %.2f after one immediate failure and %.2f after two, want at least 0.9 and 0.99", once, twice)
	}
	if later := s.probabilityAt(now.Add(time.Minute)); later > 1.05*stationaryBelief {
		t.Errorf("belief %.2f a minute later, want %.2f", later, stationaryBelief)
	}
	s.observeSuccess(now)
	s.observeSuccess(now)
	s.observeSuccess(now)
	if cleared := s.probabilityAt(now); cleared > 0.8 {
		t.Errorf("belief %.2f after three good requests", cleared)
	}
}

// After another host has reported a failure, this host's next requests avoid the server.
func TestFailureAtAnotherHostDivertsRequests(t *testing.T) {
	table, now := newTable()
	v := view(2)
	for _, id := range []string{"b0", "b1"} {
		sendTo(t, table, now, v, id, Result{Outcome: Good, FirstByte: 100 * time.Millisecond})
	}
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", Failed: 1}}, false)
	for range 3 {
		if placement := mustPick(t, table, now, v, Request{}); placement.Server.ID != "b1" {
			t.Fatalf("request sent to %s, where another host's request just failed", placement.Server.ID)
		}
	}
}

// A repeated or out-of-order report is not counted twice; the reports of a new incarnation of the
// host are counted from zero.
func TestReportsCountOnce(t *testing.T) {
	table, now := newTable()
	first := []*peerpb.BackendLoad{{Service: "s", Requests: 3, Retries: 1}}
	second := []*peerpb.BackendLoad{{Service: "s", Requests: 9, Retries: 2}}
	table.Report(now, "h2", 7, first, true)
	table.Report(now, "h2", 7, second, true)
	table.Report(now, "h2", 7, first, true)
	table.Report(now, "h2", 7, second, true)
	svc := table.service("s")
	if got, _, _ := svc.sharedSends(now, table.conf.Retry.Window); got != 9 {
		t.Errorf("%d requests counted, want 9", got)
	}
	table.Report(now, "h2", 8, first, true)
	if got, _, _ := svc.sharedSends(now, table.conf.Retry.Window); got != 12 {
		t.Errorf("%d requests counted after the host's restart, want 12", got)
	}
}

// Requests in flight from another host of the data centre count against the capacity of a server,
// until that host's reports expire.
func TestPeersRequestsFillServers(t *testing.T) {
	table, now := newTable()
	v := view(1)
	full := uint32(3 * maxRequestsPerSlot)
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", InFlight: full, Requests: uint64(full)}}, true)
	if _, err := table.Pick(now, v, Request{Service: "s", DataCentre: "dc1"}); errs.KindOf(err) != errs.KindQueueFull {
		t.Fatalf("error %v, want %s", err, errs.KindQueueFull)
	}
	if _, err := table.Pick(now.Add(2*peerReportTTL), v, Request{Service: "s", DataCentre: "dc1"}); err != nil {
		t.Fatal(err)
	}
}

// A report that arrives after a newer one does not count its failure again.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	table, now := newTable()
	for _, failed := range []uint64{1, 2} {
		table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", Failed: failed}}, false)
	}
	row := table.servers[key{"s", "b0"}]
	for range 5 {
		row.health.observeSuccess(now)
	}
	before := row.health.probabilityAt(now)
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", Failed: 1}}, false)
	if after := row.health.probabilityAt(now); after > before {
		t.Errorf("belief rose from %.3f to %.3f", before, after)
	}
}

// What another host counted before its first report to this one is outdated: only its newest
// failure is used.
func TestFirstReportCountsOnlyNewestFailure(t *testing.T) {
	beliefAfter := func(failed uint64) float64 {
		table, now := newTable()
		sendTo(t, table, now, view(1), "b0", Result{Outcome: Good, FirstByte: time.Millisecond})
		table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", Failed: failed}}, false)
		return table.servers[key{"s", "b0"}].health.probabilityAt(now)
	}
	if one, many := beliefAfter(1), beliefAfter(50); math.Abs(one-many) > 1e-3 {
		t.Errorf("belief %.3f after a first report of 50 failures, want %.3f as after one", many, one)
	}
}

// An error that comes after the typical work of a request is most likely caused by the request: one
// of them must not divert requests from the server, several in a row must. A single immediate error
// must as well.
func TestLateErrorsAreAttributedToRequests(t *testing.T) {
	const work = 200 * time.Millisecond
	beliefAfter := func(n int, took time.Duration) float64 {
		table, now := newTable()
		v := view(1)
		sendTo(t, table, now, v, "b0", Result{Outcome: Good, FirstByte: work})
		for range n {
			sendTo(t, table, now, v, "b0", Result{Outcome: Failed, FirstByte: took})
		}
		return table.servers[key{"s", "b0"}].health.probabilityAt(now)
	}
	if late := beliefAfter(1, work); late > 0.3 {
		t.Errorf("belief %.2f after one error that took a request's work, want at most 0.3", late)
	}
	if row := beliefAfter(6, work); row < 0.7 {
		t.Errorf("belief %.2f after six such errors in a row, want at least 0.7", row)
	}
	if quick := beliefAfter(1, work/100); quick < 0.9 {
		t.Errorf("belief %.2f after one immediate error, want at least 0.9", quick)
	}
}

// Late errors are reported to the hosts of the data centre, which count them as unserved.
func TestLateErrorsAreReported(t *testing.T) {
	sender, now := newTable()
	receiver, _ := newTable()
	v := view(1)
	sendTo(t, sender, now, v, "b0", Result{Outcome: Good, FirstByte: 200 * time.Millisecond})
	near, _ := sender.Changes(now)
	receiver.Report(now, "h2", 1, near, true)
	sendTo(t, sender, now, v, "b0", Result{Outcome: Failed, FirstByte: 200 * time.Millisecond})
	near, failing := sender.Changes(now)
	if len(failing) != 0 {
		t.Errorf("%v is sent to hosts of other data centres", failing)
	}
	receiver.Report(now, "h2", 1, near, true)
	if got := receiver.service("s").unserved.sum(now, outcomeWindow); got != 1 {
		t.Errorf("%d unserved requests counted, want 1", got)
	}
}

// A lost report is compensated by the host's next one, even if that is about another server.
func TestLostReportIsCompensated(t *testing.T) {
	sender, now := newTable()
	receiver, _ := newTable()
	v := view(2)
	sendTo(t, sender, now, v, "b0", Result{Outcome: Good, FirstByte: time.Millisecond})
	sender.Changes(now) // lost
	sendTo(t, sender, now, v, "b1", Result{Outcome: Good, FirstByte: time.Millisecond})
	near, _ := sender.Changes(now)
	receiver.Report(now, "h2", 1, near, true)
	if got, _, _ := receiver.service("s").sharedSends(now, receiver.conf.Retry.Window); got != 2 {
		t.Errorf("%d requests known, want 2", got)
	}
}

// A window drops events that are older than its length.
func TestWindowDropsOldEvents(t *testing.T) {
	var w window
	now := time.Now()
	const length = 10 * time.Second
	w.add(now, length, 3)
	w.add(now.Add(6*time.Second), length, 2)
	if got := w.sum(now.Add(9*time.Second), length); got != 5 {
		t.Errorf("%d after 9 s, want 5", got)
	}
	if got := w.sum(now.Add(12*time.Second), length); got != 2 {
		t.Errorf("%d after 12 s, want 2", got)
	}
	if got := w.sum(now.Add(time.Hour), length); got != 0 {
		t.Errorf("%d after an hour, want 0", got)
	}
}

// Servers without a recent failure stay in use even if a single server could handle all requests; a
// failing server need not.
func TestServersStayInUse(t *testing.T) {
	table, start := newTable()
	v := view(8)
	used := make(map[string]int)
	for step := range 100 {
		now := start.Add(time.Duration(step) * 40 * time.Millisecond)
		placement := mustPick(t, table, now, v, Request{})
		if step >= 50 {
			used[placement.Server.ID]++
		}
		outcome := Good
		if placement.Server.ID == "b0" {
			outcome = Failed
		}
		table.Finish(now, placement, Result{Outcome: outcome, FirstByte: 100 * time.Millisecond})
	}
	if len(used) < 6 {
		t.Errorf("%d of 8 servers in use over 2 s: %v", len(used), used)
	}
	if used["b0"] > 2 {
		t.Errorf("the failing server got %d of 50 requests", used["b0"])
	}
}

// A server that this host cannot connect to is avoided until the backoff has passed.
func TestUnreachableServerIsAvoided(t *testing.T) {
	table, now := newTable()
	v := view(2)
	sendTo(t, table, now, v, "b0", Result{Outcome: Unreachable})
	for range 5 {
		if placement := mustPick(t, table, now, v, Request{Idempotent: true}); placement.Server.ID != "b1" {
			t.Fatalf("request sent to %s, which cannot be reached", placement.Server.ID)
		}
	}
}

// If the servers of the own data centre fail, a small answer is fetched from another data centre,
// but a large one is not.
func TestLargeAnswersStayInTheDataCentre(t *testing.T) {
	table, now := newTable()
	v := view(2)
	v.Backends[1].DataCentre = "dc2"
	sendTo(t, table, now, v, "b1", Result{Outcome: Good, FirstByte: 100 * time.Millisecond})
	sendTo(t, table, now, v, "b0", Result{Outcome: Failed})
	table.route(table.service("s"), "large").record(now, 100*time.Millisecond, 100_000)
	table.route(table.service("s"), "small").record(now, 100*time.Millisecond, 500)
	if placement := mustPick(t, table, now, v, Request{Idempotent: true, Group: "large"}); placement.Server.ID != "b0" {
		t.Errorf("large answer fetched from %s", placement.Server.DataCentre)
	}
	if placement := mustPick(t, table, now, v, Request{Idempotent: true, Group: "small"}); placement.Server.ID != "b1" {
		t.Errorf("small answer requested from a server that just failed")
	}
}

// The load that a server reports counts as far as it exceeds the known load, and decays.
func TestReportedLoadDecays(t *testing.T) {
	table, now := newTable()
	v := view(1)
	sendTo(t, table, now, v, "b0", Result{Outcome: Good, FirstByte: time.Millisecond, Load: &protocol.Load{Running: 3, Waiting: 6}})
	row := table.servers[key{"s", "b0"}]
	if load := row.load(row.loadReportedAt); load != 8 {
		t.Errorf("load %.1f, want the 8 other requests that the server reported", load)
	}
	if load := row.load(row.loadReportedAt.Add(10 * reportedLoadHalfLife)); load > 0.1 {
		t.Errorf("load %.1f long after the report", load)
	}
}

// Changes sends every request and the service's totals to the data centre, but only failures to all
// hosts.
func TestChangesSendOnlyFailuresToAllHosts(t *testing.T) {
	table, now := newTable()
	v := view(2)
	sendTo(t, table, now, v, "b0", Result{Outcome: Good, FirstByte: time.Millisecond})
	sendTo(t, table, now, v, "b1", Result{Outcome: Failed})
	near, failures := table.Changes(now)
	if len(near) != 3 || len(failures) != 1 || failures[0].Backend != "b1" || failures[0].Failed != 1 || failures[0].Requests != 0 {
		t.Errorf("near %v, far %v", near, failures)
	}
	if near, failures = table.Changes(now); len(near)+len(failures) != 0 {
		t.Errorf("sent again without a change: %v, %v", near, failures)
	}
}

// Servers that a host finds when it starts may be failing, and so may one that enters its subset
// because other hosts or servers joined or left. A server that joins has just started and is taken
// to be healthy.
func TestNewServersAreTrusted(t *testing.T) {
	table, now := newTable()
	sendTo(t, table, now, view(2), "b0", Result{Outcome: Neutral})
	moved := view(5)
	moved.Backends[2].JoinedAt = now
	moved.Backends[3].JoinedAt = now.Add(-time.Minute)
	mustPick(t, table, now, moved, Request{})
	for _, id := range []string{"b3", "b4"} {
		if met := table.servers[key{"s", id}].health.probabilityAt(now); met < 0.9*stationaryBelief {
			t.Errorf("belief %.2f of %s, which is no new server, want %.2f", met, id, stationaryBelief)
		}
	}
	if found := table.servers[key{"s", "b0"}].health.probabilityAt(now); found < 0.9*stationaryBelief {
		t.Errorf("belief %.2f of a server found at the start, want %.2f", found, stationaryBelief)
	}
	if joined := table.servers[key{"s", "b2"}].health.probabilityAt(now); joined > 2*newServerBelief {
		t.Errorf("belief %.2f of a server that joined, want %.2f", joined, newServerBelief)
	}
}

// The first report of another host about a server counts as a use of it.
func TestFirstReportCountsAsUse(t *testing.T) {
	table, now := newTable()
	table.Report(now, "h2", 7, []*peerpb.BackendLoad{{Service: "s", Backend: "b0", InFlight: 1, Requests: 1}}, true)
	if row := table.servers[key{"s", "b0"}]; !row.lastSent.Equal(now) {
		t.Errorf("last use at %v, want %v", row.lastSent, now)
	}
}

// The load that a server reports to one host is forwarded to the others of the data centre: it
// includes requests of other data centres, which no host of this one counts.
func TestReportedLoadIsForwarded(t *testing.T) {
	sender, now := newTable()
	peer, _ := newTable()
	v := view(1)
	sendTo(t, sender, now, v, "b0", Result{Outcome: Good, FirstByte: time.Millisecond, Load: &protocol.Load{Running: 3, Waiting: 6}})
	near, _ := sender.Changes(now)
	peer.Report(now, "h2", 1, near, true)
	row := peer.servers[key{"s", "b0"}]
	if load := row.load(now); load < 7 {
		t.Errorf("load %.1f at the peer, want about 8 of the 9 reported", load)
	}
	sendTo(t, sender, now, v, "b0", Result{Outcome: Good, FirstByte: time.Millisecond})
	near, _ = sender.Changes(now)
	peer.Report(now.Add(5*reportedLoadHalfLife), "h2", 1, near, true)
	if load := row.load(now.Add(5 * reportedLoadHalfLife)); load > 1 {
		t.Errorf("load %.1f later without another report of the server", load)
	}
}
