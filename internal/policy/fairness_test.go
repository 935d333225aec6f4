package policy

import (
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// serveCustomer sends requests of a customer, of which some are served.
func serveCustomer(t *testing.T, table *Table, now time.Time, name string, requests, served int) {
	t.Helper()
	v := view(40)
	for i := range requests {
		p := mustPick(t, table, now, v, Request{FirstAttempt: true, Customer: name, Weight: 10})
		done := Result{Outcome: Abandoned}
		if i < served {
			done = Result{Outcome: Good, FirstByte: 200 * time.Millisecond}
		}
		table.Finish(now, p, done)
	}
}

// A host that no longer hears of its segment must go on by its own counts: what a dead or separated
// peer reported decays, and a restarted peer's counts begin again. Before, a customer that the dead
// peer served much would have been refused for ever.
func TestFairSharesWithoutPeers(t *testing.T) {
	table, now := newTable()
	req := Request{Service: "s", Customer: "a", Weight: 10}
	report := func(requested, served uint64, life uint64) {
		rows := []*peerpb.CustomerCount{{Customer: "a", Weight: 10, Requested: requested, Served: served}}
		table.Report(now, "h2", life, []*peerpb.BackendLoad{{Service: "s", Requests: requested, Customers: rows}}, true)
	}
	serveCustomer(t, table, now, "a", 10, 5)
	serveCustomer(t, table, now, "b", 20, 10)
	report(0, 0, 1)
	report(50, 40, 1)
	if rank := table.FairnessRank(now, req); rank < aboveShare {
		t.Fatalf("rank %.2f of a customer that a peer served most, want above its share", rank)
	}
	report(3, 0, 2) // h2 was restarted
	now = now.Add(30 * time.Second)
	serveCustomer(t, table, now, "a", 10, 2)
	serveCustomer(t, table, now, "b", 20, 18)
	if rank := table.FairnessRank(now, req); rank > belowShare {
		t.Errorf("rank %.2f 30 s after the peer's last report, want below its share", rank)
	}
}

// Reports on customers cost bytes between all hosts of a segment and are of use only while a
// service refuses requests.
func TestCustomersAreReportedWhileRefusing(t *testing.T) {
	table, now := newTable()
	serveCustomer(t, table, now, "a", 3, 3)
	customers := func() (n int) {
		local, _ := table.Changes(now)
		for _, row := range local {
			n += len(row.Customers)
		}
		return n
	}
	if n := customers(); n > 0 {
		t.Errorf("%d customers reported while nothing is refused", n)
	}
	table.service("s").refusedAt = now
	serveCustomer(t, table, now, "a", 3, 3)
	if n := customers(); n != 1 {
		t.Errorf("%d customers reported, want 1", n)
	}
	serveCustomer(t, table, now, "a", 3, 3)
	if n := customers(); n > 0 {
		t.Errorf("%d customers reported again within the interval", n)
	}
}
