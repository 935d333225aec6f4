package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/metrics"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

type noQuarantine struct{ Quarantine }

func (noQuarantine) Active() bool { return false }

// waitingExchange returns the exchange of a request with the given objective, at a service whose only
// slot any request takes.
func waitingExchange(d *Dispatcher, snap *world.Snapshot, objective time.Duration, streamed bool) *exchange {
	now := time.Now()
	req := &Request{Service: "plans", Group: objective.String(), Objective: objective, Deadline: now.Add(2 * objective), body: &replayBody{streamed: streamed}}
	return &exchange{d: d, req: req, snap: snap, view: snap.Services["plans"], start: now}
}

func newWaitingDispatcher() (*Dispatcher, *world.Snapshot) {
	snap := &world.Snapshot{Self: world.Identity{DataCentre: "dc1"}, Services: map[string]*world.ServiceView{"plans": {
		Backends:          []world.BackendView{{ID: "b1", DataCentre: "dc1", Slots: 1, Weight: 1}},
		ShortestObjective: time.Second,
		LongestObjective:  20 * time.Second,
	}}}
	return &Dispatcher{
		balance:      balance.NewTable(time.Now, policy.Config{Cost: policy.DefaultCostRule(), Retry: policy.DefaultRetryRule()}),
		metrics:      metrics.New(prometheus.NewRegistry()),
		availability: availability.NewTable(time.Now),
		quarantine:   noQuarantine{},
		snapshot:     func() *world.Snapshot { return snap },
	}, snap
}

// A request whose caller disconnects, or whose deadline passes, while it waits must not be sent, and is
// told apart in the refusal. One with a streamed body does not wait for longer than a disconnected
// caller may go unnoticed.
func TestEndOfAWaitingRequest(t *testing.T) {
	for name, c := range map[string]struct {
		streamed bool
		end      func(context.CancelCauseFunc)
		want     errs.Kind
		after    time.Duration
	}{
		"caller left":   {end: func(cancel context.CancelCauseFunc) { cancel(context.Canceled) }, want: errs.KindCanceled, after: 2 * time.Second},
		"deadline":      {end: func(cancel context.CancelCauseFunc) { cancel(context.DeadlineExceeded) }, want: errs.KindDeadline, after: 2 * time.Second},
		"streamed body": {streamed: true, after: streamedMaxWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, snap := newWaitingDispatcher()
				if _, err := waitingExchange(d, snap, time.Second, false).pickServer(t.Context()); err != nil {
					t.Fatal(err)
				}
				x := waitingExchange(d, snap, 20*time.Second, c.streamed)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				if c.end != nil {
					time.AfterFunc(2*time.Second, func() { c.end(cancel) })
				}
				lease, err := x.pickServer(ctx)
				if errs.KindOf(err) != c.want || (lease == nil) != (c.want != "") || time.Since(x.start) != c.after {
					t.Errorf("after %s: lease %v, error %v", time.Since(x.start), lease, err)
				}
				if n, _ := d.balance.WaitingUsage(); n != 0 || x.trace.waited == "" {
					t.Errorf("%d requests still wait; logged as %q", n, x.trace.waited)
				}
			})
		})
	}
}
