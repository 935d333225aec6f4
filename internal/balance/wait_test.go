package balance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/waitqueue"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	shortObjective = time.Second
	longObjective  = 20 * time.Second
	// peerReportTTL is how long the policy believes a host that has fallen silent.
	peerReportTTL = 1600 * time.Millisecond
)

// fleet is a host with one server that has one slot, and routes that differ much in their objectives.
type fleet struct {
	t     *testing.T
	table *balance.Table
	view  *world.ServiceView
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t:     t,
		table: balance.NewTable(time.Now, policy.Config{Cost: policy.DefaultCostRule(), Retry: policy.DefaultRetryRule()}),
		view: &world.ServiceView{
			Backends:          []world.BackendView{{ID: "b1", DataCentre: "dc1", Slots: 1, Weight: 1}},
			ShortestObjective: shortObjective,
			LongestObjective:  longObjective,
		},
	}
}

func (f *fleet) submit(group string, objective time.Duration) (balance.Decision, *balance.Waiter) {
	now := time.Now()
	return f.table.Submit(waitqueue.Request{View: f.view, Policy: policy.Request{
		Service: "plans", Group: group, DataCentre: "dc1", FirstAttempt: true, MayWait: true,
		Objective: objective, ReceivedAt: now, Deadline: now.Add(2 * objective),
	}})
}

// occupy places an urgent request at the only slot.
func (f *fleet) occupy() *balance.Lease {
	d, waiter := f.submit("deposit", shortObjective)
	if waiter != nil || d.Lease == nil {
		f.t.Fatalf("an urgent request waits, or is refused: %v", d.Err)
	}
	return d.Lease
}

func (f *fleet) mustWait() *balance.Waiter {
	d, waiter := f.submit("read", longObjective)
	if waiter == nil {
		f.t.Fatalf("a request with much time does not wait while all slots are in use: %v", d.Err)
	}
	return waiter
}

func (f *fleet) waiting() int {
	n, _ := f.table.WaitingUsage()
	return n
}

// A waiting request is sent as soon as a slot is free, and one whose caller has left never is.
func TestFreedSlotEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		occupied := f.occupy()
		gone, waiter := f.mustWait(), f.mustWait()
		gone.Leave()
		time.Sleep(time.Second)
		occupied.Finish(policy.Result{Outcome: policy.Good, FirstByte: time.Second})
		select {
		case d := <-waiter.Decided():
			if d.Lease == nil || d.Waited != time.Second {
				t.Errorf("after %s: %v", d.Waited, d.Err)
			}
		default:
			t.Error("the request waits though a slot is free")
		}
		if len(gone.Decided()) > 0 || f.waiting() != 0 {
			t.Error("the request of a caller that left got a slot, or still waits")
		}
	})
}

// If the report of another host's freed slot is lost, a request must not wait for longer than that host
// is believed and the recheck interval.
func TestLostReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.occupy().Finish(policy.Result{Outcome: policy.Good, FirstByte: 10 * time.Millisecond})
		began := time.Now()
		f.table.Report("h2", 1, []*peerpb.BackendLoad{{Service: "plans", Backend: "b1", InFlight: 1, Requests: 1}}, true)
		d := <-f.mustWait().Decided() // h2's next report never comes
		if took := time.Since(began); d.Lease == nil || took > peerReportTTL+waitqueue.RecheckInterval {
			t.Errorf("waited for %s: %v", took, d.Err)
		}
	})
}

// A host that stops must decide on all waiting requests at once, and let no other wait.
func TestStopWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.occupy()
		waiters := []*balance.Waiter{f.mustWait(), f.mustWait(), f.mustWait(), f.mustWait()}
		f.table.DrainWaits()
		sent, refused := 0, 0
		for _, w := range waiters {
			select {
			case d := <-w.Decided():
				if d.Lease != nil {
					sent++
				} else if errs.KindOf(d.Err) == errs.KindQueueFull {
					refused++
				}
			default:
			}
		}
		// The server queues three more requests than it has slots.
		if sent != 3 || refused != 1 || f.waiting() != 0 {
			t.Errorf("%d sent, %d refused, %d still wait", sent, refused, f.waiting())
		}
		if _, waiter := f.submit("read", longObjective); waiter != nil {
			t.Error("a request waits in a host that stops")
		}
	})
}
