package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/waitqueue"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Results of a wait, in metrics and logs.
const (
	waitSent    = "sent"
	waitRefused = "refused"
	waitLeft    = "left" // the caller disconnected, or the deadline passed
)

// streamedMaxWait limits the wait of a request with a streamed body: whether its caller has
// disconnected shows only once the body has been read, and half a second later the request must not
// reach a server.
const streamedMaxWait = 400 * time.Millisecond

// pickBalanced leases a slot from the balancer. The request may wait for one in this host.
func (x *exchange) pickBalanced(ctx context.Context) (*serverLease, error) {
	req := x.policyRequest()
	req.MayWait = x.mayWait()
	wait := waitqueue.Request{View: x.view, Policy: req, Refresh: x.refresher(req), BodyBytes: int64(len(x.req.body.data))}
	if x.req.body.streamed {
		wait.MaxWait = streamedMaxWait
	}
	d, waiter := x.d.balance.Submit(wait)
	if waiter != nil {
		var err error
		if d, err = x.await(ctx, waiter); err != nil {
			return nil, err
		}
	}
	if d.Reason != "" {
		x.d.metrics.WaitRefused(x.req.Service, string(d.Reason))
	}
	if d.Err != nil {
		if d.RetryAfter > 0 {
			return nil, refuseNotRun(toTypedError(d.Err), d.RetryAfter)
		}
		return nil, d.Err
	}
	if waiter != nil {
		if refusal := x.checkQuarantine(); refusal != nil {
			returnUnused(d.Lease)
			return nil, refusal
		}
	}
	x.counted = true
	return balancedLease(d.Lease), nil
}

// mayWait reports whether the request can wait in this host.
func (x *exchange) mayWait() bool {
	return x.inFlight == 0 && !x.d.balance.PathLost()
}

// refresher returns a function that describes the request for a look for a free slot. It is called
// on other goroutines and uses only what does not change while the request waits.
func (x *exchange) refresher(req policy.Request) func() (*world.ServiceView, policy.Request) {
	d, request, view := x.d, x.req, x.view
	return func() (*world.ServiceView, policy.Request) {
		snap := d.snapshot()
		if current, ok := snap.Services[req.Service]; ok {
			view = d.viewFor(request, current)
		} else {
			view = noServers(view)
		}
		req.Availability, req.RateLimits, req.FleetSize = d.availability.Now(), snap.RateLimits, snap.FleetSize
		return view, req
	}
}

// await waits for the balancer's decision. It returns an error if the request ends before, or if
// this host loses its path to the servers, so that the request can be relayed.
func (x *exchange) await(ctx context.Context, waiter *balance.Waiter) (balance.Decision, error) {
	began := time.Now()
	select {
	case d := <-waiter.Decided():
		result := waitSent
		if d.Err != nil {
			result = waitRefused
		}
		x.recordWait(result, time.Since(began), d.Ahead)
		if gone := x.refreshView(); gone != nil {
			returnUnused(d.Lease)
			return balance.Decision{}, gone
		}
		return d, nil
	case <-ctx.Done():
		waiter.Leave()
		x.recordWait(waitLeft, time.Since(began), -1)
		if isCallerGone(ctx) {
			return balance.Decision{}, errs.New(errs.KindCanceled, "the caller disconnected while the request waited for a slot", "repeat the request")
		}
		return balance.Decision{}, errs.New(errs.KindDeadline, "the deadline passed while the request waited for a slot", "allow more time; add capacity")
	case <-x.d.balance.PathLostSignal():
		waiter.Leave()
		x.recordWait(waitLeft, time.Since(began), -1)
		return balance.Decision{}, errs.New(errs.KindPathLost, "this host lost its path to the backend servers while the request waited", "repeat the request")
	}
}

// recordWait records a wait in the metrics and in the log line. ahead is the number of requests
// ahead when the request came, negative if unknown.
func (x *exchange) recordWait(result string, took time.Duration, ahead int) {
	x.d.metrics.Waited(x.req.Service, result, took)
	x.trace.waited = took.Round(time.Millisecond).String() + " " + result
	if ahead >= 0 {
		x.trace.waited += " ahead=" + strconv.Itoa(ahead)
	}
}
