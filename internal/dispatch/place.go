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

// place is a request's place at a backend server until Release. It hides
// whether an owner host's slots or the balancer gave it.
type place struct {
	// Server is where to send.
	Server world.BackendView
	// Borrowed is set if the slot belongs to another owner host.
	Borrowed bool
	// done is what was learnt so far.
	done policy.Done
	// try is the line about it, lease the balancer's, nil with owner hosts.
	try   *try
	lease *balance.Lease
	// belief and load are what decided the pick, 0 with owner hosts.
	belief float64
	load   float64
	// maxIdle is for how long a connection that carries the request may have been
	// idle, 0 for no bound.
	maxIdle time.Duration
	end     func(policy.Done)
	report  func(protocol.Load)
}

// Release ends the request at the server. Further calls do nothing.
func (p *place) Release() { p.end(p.done) }

// note keeps an outcome for Release.
func (p *place) note(kind peerpb.Observation_Kind, firstByte time.Duration) {
	switch kind {
	case peerpb.Observation_KIND_GOOD:
		p.done.Outcome = policy.Good
		p.done.FirstByte = firstByte
	case peerpb.Observation_KIND_FAILED:
		p.done.Outcome = policy.Failed
		p.done.FirstByte = firstByte
	case peerpb.Observation_KIND_UNREACHABLE:
		p.done.Outcome = policy.Unreachable
	}
}

func slotPlace(lease *slots.Lease) *place {
	return &place{
		Server:   lease.Server,
		Borrowed: lease.Borrowed,
		done:     policy.Done{Outcome: policy.Neutral},
		end:      func(policy.Done) { lease.Release() },
		report:   func(load protocol.Load) { lease.Report(load.Running) },
	}
}

func balancedPlace(lease *balance.Lease) *place {
	p := &place{Server: lease.Server, done: policy.Done{Outcome: policy.Neutral}, end: lease.Finish, lease: lease}
	p.belief, p.load, p.maxIdle = lease.Belief, lease.Load, lease.MaxIdle
	p.report = func(load protocol.Load) { p.done.Load = &load }
	return p
}

// place gets a place at a server: from the balancer where hosts pick directly,
// else one of this host's slots.
func (x *exchange) place(ctx context.Context) (*place, error) {
	if x.d.balance != nil {
		lease, err := x.d.balance.Pick(x.view, x.policyRequest())
		if err != nil {
			return nil, err
		}
		return balancedPlace(lease), nil
	}
	lease, err := x.state.pool.Acquire(ctx, x.view, slots.Request{
		Idempotent: x.req.Idempotent,
		Session:    x.req.Session,
		Deadline:   x.req.Deadline,
		Exclude:    x.tried,
		Available:  x.isAvailable,
		Borrow:     !x.borrowed && x.state.budget.ample(),
	})
	if err != nil {
		return nil, err
	}
	return slotPlace(lease), nil
}

// policyRequest is what the balancer needs to know of the request now. A copy that
// is under way counts as a server that has had it.
func (x *exchange) policyRequest() policy.Request {
	return policy.Request{
		Service:      x.req.Service,
		Idempotent:   x.req.Idempotent,
		DataCentre:   x.snap.Self.DataCentre,
		Group:        x.req.Group,
		Objective:    x.req.Objective,
		First:        x.arrived == 0 && x.broken == 0 && x.waiting == 0,
		Repeat:       x.arrived > 0 || x.waiting > 0,
		Last:         x.ran+x.waiting+1 >= x.req.attempts(),
		Fleet:        x.fleet(),
		Exclude:      x.tried,
		Availability: x.d.servers.Now(),
		RateLimits:   x.snap.RateLimits,
		Priority:     x.req.Priority,
		Asked:        x.start,
		Deadline:     x.req.Deadline,
	}
}
