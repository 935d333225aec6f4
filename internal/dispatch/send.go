package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/boottime"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// destination is where and how a request is sent once.
type destination struct {
	via     *upstream.Transport
	scheme  string
	address string // IP:port
	// maxIdle is for how long the connection may have been idle, 0 for no bound.
	maxIdle time.Duration
	// view is of the service when the request was sent, server what it is sent to; both
	// are zero for an owner host.
	view   *world.ServiceView
	server process.Server
	// dataCentre is the server's.
	dataCentre string
	// adjust changes the outgoing headers.
	adjust func(http.Header)
}

// toServer is the destination of a request for a backend server.
func (x *exchange) toServer(lease *place) destination {
	return destination{
		via:     x.d.backends,
		scheme:  "http",
		address: lease.Server.Address,
		maxIdle: lease.maxIdle,
		view:    x.view,
		server:  x.serverOf(lease),
		adjust:  x.target(lease),

		dataCentre: lease.Server.DataCentre,
	}
}

// toOwner is the destination of a request for an owner host.
func (x *exchange) toOwner(owner world.OwnerView, adjust func(http.Header)) destination {
	return destination{via: x.d.owners, scheme: x.d.conf.PeerScheme, address: owner.Address, adjust: adjust}
}

// send sends the request once.
func (x *exchange) send(ctx context.Context, to destination) (*upstream.Answer, *upstream.Failure) {
	out, err := x.req.outgoing(ctx, to.scheme, to.address, x.d.marks)
	if err != nil {
		return nil, upstream.NotSent(asTyped(err))
	}
	to.adjust(out.Header)
	token, withheld := x.takeToken(ctx, to)
	if withheld != nil {
		return nil, upstream.NotSent(withheld)
	}
	if x.d.conf.BeforeWrite != nil {
		x.d.conf.BeforeWrite(x.req)
	}
	answer, failure := to.via.Do(ctx, out, func() error { return x.lastLook(to, token) }, to.maxIdle)
	if failure != nil && !failure.Written {
		x.returnToken(token)
	}
	return answer, failure
}

// lastLook is asked right before the first byte leaves. A host that was paused must not act
// on what it decided before; and a request may have waited for a connection while the server
// said that it is leaving or wants rest, named a rate limit, or left the rotation.
func (x *exchange) lastLook(to destination, t *sendToken) error {
	now := time.Now()
	if err := x.mayStillSend(to); err != nil {
		return err
	}
	if err := x.checkToken(to, t); err != nil {
		return err
	}
	if world.Passed(now, x.req.Deadline) {
		return errs.New(errs.KindDeadline, "the deadline passed before the request was sent", "allow more time")
	}
	if x.req.Idempotent {
		return nil
	}
	if !x.d.snapshot().Fresh(now, boottime.Suspended()) {
		return errs.New(errs.KindStaleHost, "this host paused and its view is not fresh yet", "repeat the request after the time in Retry-After")
	}
	return nil
}

// failed notes an exchange that brought no answer.
func (x *exchange) failed(ctx context.Context, lease *place, failure *upstream.Failure) *Refusal {
	typed := asTyped(failure.Unwrap())
	lease.try.end(string(typed.Kind))
	lease.done.Unsent = !failure.Written
	if isCallerGone(ctx) {
		x.written = x.written || failure.Written
		x.giveUp(lease)
		return notRunOrUnknown(x.written, typed)
	}
	if !failure.Written {
		x.broken++
		x.free = true // no server had any of it
		if isOutOfReach(failure, typed.Kind) {
			x.observe(lease, peerpb.Observation_KIND_UNREACHABLE, 0)
			x.tried = append(x.tried, lease.Server.ID)
		}
		return notRunOrUnknown(x.written, typed)
	}
	x.written = true
	x.ran++
	x.arrived++
	if typed.Kind == errs.KindBroken {
		x.noteFate(lease)
	}
	lease.done.Reused = failure.Reused
	lease.done.Took = lease.try.took
	lease.done.TimedOut = typed.Kind == errs.KindDeadline
	x.observe(lease, peerpb.Observation_KIND_FAILED, 0)
	x.tried = append(x.tried, lease.Server.ID)
	return unknown(typed)
}

// isOutOfReach reports whether no byte can be brought to a server: no connection could be had, or a
// new one broke at once. A kept connection that the server closed says nothing against it.
func isOutOfReach(failure *upstream.Failure, kind errs.Kind) bool {
	if !failure.Dialled {
		return kind == errs.KindDialFailed
	}
	return kind == errs.KindBroken && !failure.Reused
}

func (x *exchange) observe(lease *place, kind peerpb.Observation_Kind, firstByte time.Duration) {
	lease.note(kind, firstByte)
	x.d.observer.Observe(&peerpb.Observation{
		Service:     x.req.Service,
		Backend:     lease.Server.ID,
		Kind:        kind,
		FirstByteUs: uint64(firstByte.Microseconds()),
		Idempotent:  x.req.Idempotent,
	})
}

// target names the server that a request is meant for, in protocols that can.
func (x *exchange) target(lease *place) func(http.Header) {
	return func(h http.Header) {
		if x.d.marks.Target != "" {
			h.Set(x.d.marks.Target, lease.Server.ID)
		}
	}
}
