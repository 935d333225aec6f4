package dispatch

import (
	"context"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/protocol"
	"github.com/pearshelf/pearshelf/internal/slots"
	"github.com/pearshelf/pearshelf/internal/world"
)

// serverLease is a request's slot at a backend server until Release. It abstracts over the
// slots of owner hosts and the balancer.
type serverLease struct {
	// Server is the backend server to send to.
	Server world.BackendView
	// Borrowed is set if the slot belongs to another owner host.
	Borrowed bool
	// done is what is known of the outcome so far.
	done policy.Result
	// attempt is the log record of this send. balanced is the balancer's lease, nil with owner
	// hosts.
	attempt  *attempt
	balanced *balance.Lease
	// belief and load are the values that decided the pick, 0 with owner hosts.
	belief float64
	load   float64
	// maxIdle is how long a connection may have been idle to be used for the request, 0 for no
	// limit.
	maxIdle    time.Duration
	finish     func(policy.Result)
	reportLoad func(protocol.Load)
}

// Release ends the request's lease. Further calls do nothing.
func (l *serverLease) Release() { l.finish(l.done) }

// setOutcome stores an outcome for Release.
func (l *serverLease) setOutcome(kind peerpb.Observation_Kind, firstByte time.Duration) {
	switch kind {
	case peerpb.Observation_KIND_GOOD:
		l.done.Outcome = policy.Good
		l.done.FirstByte = firstByte
	case peerpb.Observation_KIND_FAILED:
		l.done.Outcome = policy.Failed
		l.done.FirstByte = firstByte
	case peerpb.Observation_KIND_UNREACHABLE:
		l.done.Outcome = policy.Unreachable
	}
}

func slotLease(lease *slots.Lease) *serverLease {
	return &serverLease{
		Server:     lease.Server,
		Borrowed:   lease.Borrowed,
		done:       policy.Result{Outcome: policy.Neutral},
		finish:     func(policy.Result) { lease.Release() },
		reportLoad: func(load protocol.Load) { lease.Report(load.Running) },
	}
}

func balancedLease(lease *balance.Lease) *serverLease {
	l := &serverLease{Server: lease.Server, done: policy.Result{Outcome: policy.Neutral}, finish: lease.Finish, balanced: lease}
	l.belief, l.load, l.maxIdle = lease.Belief, lease.Load, lease.MaxIdle
	l.reportLoad = func(load protocol.Load) { l.done.Load = &load }
	return l
}

// pickServer leases a slot at a server: from the balancer if hosts pick servers themselves,
// else from this host's own slots.
func (x *exchange) pickServer(ctx context.Context) (*serverLease, error) {
	if x.d.balance != nil {
		return x.pickBalanced(ctx)
	}
	lease, err := x.state.pool.Acquire(ctx, x.view, slots.Request{
		Idempotent: x.mayRepeat(),
		Session:    x.req.Session,
		Deadline:   x.req.Deadline,
		Exclude:    x.tried,
		Available:  x.isAvailable,
		Borrow:     !x.borrowRefused && x.state.budget.isAmple(),
	})
	if err != nil {
		return nil, err
	}
	return slotLease(lease), nil
}

// customerWeight returns the customer's limit in requests a second, 0 for none.
func (x *exchange) customerWeight() float64 {
	if x.req.Customer == "" {
		return 0
	}
	if holder := x.snap.Customers.ByName(x.req.Customer); holder != nil {
		return holder.Limit.PerSecond
	}
	return 0
}

// policyRequest describes the current state of the request to the balancer. A copy in flight
// counts as a server that has had the request.
func (x *exchange) policyRequest() policy.Request {
	return policy.Request{
		Service:      x.req.Service,
		Idempotent:   x.mayRepeat(),
		DataCentre:   x.snap.Self.DataCentre,
		Group:        x.req.Group,
		Objective:    x.req.Objective,
		FirstAttempt: x.attemptsArrived == 0 && x.unsentFailures == 0 && x.inFlight == 0,
		Retry:        x.attemptsArrived > 0 || x.inFlight > 0,
		Counted:      x.counted,
		LastAttempt:  x.attemptsRun+x.inFlight+1 >= x.req.maxAttempts(),
		FleetSize:    x.snap.FleetSize,
		Exclude:      x.tried,
		Availability: x.d.availability.Now(),
		RateLimits:   x.snap.RateLimits,
		Priority:     x.req.Priority,
		Customer:     x.req.Customer,
		Weight:       x.customerWeight(),
		ReceivedAt:   x.start,
		Deadline:     x.req.Deadline,
	}
}
