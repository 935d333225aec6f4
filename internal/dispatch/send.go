package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// destination describes where and how to send a request once.
type destination struct {
	transport *upstream.Transport
	scheme    string
	address   string // IP:port
	// maxIdle is how long the connection may have been idle, 0 for no limit.
	maxIdle time.Duration
	// avoid are the connections that must not carry the request.
	avoid []upstream.Connection
	// view is the service view when the request was sent, server the process that it is sent
	// to. Both are zero for an owner host.
	view   *world.ServiceView
	server process.Server
	// dataCentre is the server's data centre; isRemote is set if it is not this host's.
	dataCentre string
	isRemote   bool
	// adjust modifies the outgoing headers.
	adjust func(http.Header)
}

// toServer returns the destination for a backend server.
func (x *exchange) toServer(lease *serverLease) destination {
	return destination{
		transport: x.d.backends,
		scheme:    "http",
		address:   lease.Server.Address,
		maxIdle:   lease.maxIdle,
		avoid:     slices.Clone(x.answeredOn),
		view:      x.view,
		server:    x.serverOf(lease),
		adjust:    x.targetHeader(lease),

		dataCentre: lease.Server.DataCentre,
		isRemote:   lease.Server.DataCentre != x.snap.Self.DataCentre,
	}
}

// toOwner returns the destination for an owner host.
func (x *exchange) toOwner(owner world.OwnerView, adjust func(http.Header)) destination {
	return destination{transport: x.d.owners, scheme: x.d.conf.PeerScheme, address: owner.Address, adjust: adjust}
}

// send sends the request once.
func (x *exchange) send(ctx context.Context, to destination) (*upstream.Answer, *upstream.Failure) {
	out, err := x.req.outgoing(ctx, to.scheme, to.address, x.d.proto)
	if err != nil {
		return nil, upstream.NotSent(toTypedError(err))
	}
	to.adjust(out.Header)
	token, withheld := x.takeToken(ctx, to)
	if withheld != nil {
		return nil, upstream.NotSent(withheld)
	}
	if x.d.conf.BeforeWrite != nil {
		x.d.conf.BeforeWrite(x.req)
	}
	if x.d.crossZone != nil && to.isRemote {
		ctx = upstream.WithMeter(ctx, x.d.crossZone)
	}
	response, failure := to.transport.Do(ctx, out, upstream.Conditions{
		Guard:   func() error { return x.checkBeforeWrite(to, token) },
		MaxIdle: to.maxIdle,
		Avoid:   to.avoid,
	})
	if failure != nil && !failure.Written {
		x.returnToken(token)
	}
	return response, failure
}

// checkBeforeWrite runs right before the first byte is written. A host that was paused must
// not act on an earlier decision. Also, while the request waited for a connection, the server
// may have reported that it is leaving or wants rest, reported a rate limit, or left the
// rotation.
func (x *exchange) checkBeforeWrite(to destination, t *sendToken) error {
	now := time.Now()
	if err := x.checkServer(to); err != nil {
		return err
	}
	if err := x.checkToken(to, t); err != nil {
		return err
	}
	if world.HasPassed(now, x.req.Deadline) {
		return errs.New(errs.KindDeadline, "the deadline passed before the request was sent", "allow more time")
	}
	if x.req.Idempotent && to.server.ID == "" {
		return nil // the owner host checks its own view
	}
	if !x.d.snapshot().Fresh(now, boottime.Suspended()) {
		return staleHost()
	}
	return nil
}

// handleFailure records a send that got no response.
func (x *exchange) handleFailure(ctx context.Context, lease *serverLease, failure *upstream.Failure) *Refusal {
	typed := toTypedError(failure.Unwrap())
	lease.attempt.finish(string(typed.Kind))
	lease.attempt.recordFailure(failure)
	lease.done.Unsent = !failure.Written
	if isCallerGone(ctx) {
		x.written = x.written || failure.Written
		x.markAbandoned(lease)
		return refuse(x.written, typed)
	}
	if !failure.Written {
		x.unsentFailures++
		x.freeRetry = true // no server received any of it
		if isUnreachable(failure, typed.Kind) {
			x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
			x.tried = append(x.tried, lease.Server.ID)
			x.unreachable++
		}
		return refuse(x.written, typed)
	}
	x.written = true
	x.attemptsRun++
	x.attemptsArrived++
	if typed.Kind == errs.KindAnswerBroken {
		x.recordFate(lease)
	}
	lease.done.Reused = failure.Reused
	lease.done.Elapsed = lease.attempt.duration
	lease.done.TimedOut = typed.Kind == errs.KindDeadline
	x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	x.tried = append(x.tried, lease.Server.ID)
	return refuseUnknown(typed)
}

// isUnreachable reports whether the server cannot be reached: no connection could be opened,
// or a new one broke at once. A kept-alive connection that the server has closed is no sign of
// a fault.
func isUnreachable(failure *upstream.Failure, kind errs.Kind) bool {
	if !failure.Connected {
		return kind == errs.KindDialFailed
	}
	return kind == errs.KindAnswerBroken && !failure.Reused
}

func (x *exchange) observe(lease *serverLease, kind peerpb.Observation_Kind, firstByte time.Duration) {
	lease.setOutcome(kind, firstByte)
	x.d.observer.Observe(&peerpb.Observation{
		Service:     x.req.Service,
		Backend:     lease.Server.ID,
		Kind:        kind,
		FirstByteUs: uint64(firstByte.Microseconds()),
		Idempotent:  x.req.Idempotent,
	})
}

// targetHeader returns a function that sets the header naming the intended server, in
// protocols that have one.
func (x *exchange) targetHeader(lease *serverLease) func(http.Header) {
	return func(h http.Header) {
		if x.d.proto.Target != "" {
			h.Set(x.d.proto.Target, lease.Server.ID)
		}
	}
}
