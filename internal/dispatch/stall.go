package dispatch

import (
	"context"
	"errors"
	"time"
)

// errStalled ends a try at a server that takes much longer than usual, so that
// the request can be had elsewhere.
var errStalled = errors.New("the backend server takes much longer than usual")

// watchStall returns the context of one try. When the try takes longer than the
// service's patience, the balancer is told, and the try ends if the request may
// be sent elsewhere. answered ends the watch, done the context.
func (x *exchange) watchStall(ctx context.Context, lease *place) (tryCtx context.Context, answered func(), done func()) {
	if lease.stalled == nil {
		return ctx, func() {}, func() {}
	}
	tryCtx, cancel := context.WithCancelCause(ctx)
	elsewhere := x.req.Idempotent && x.ran+1 < x.req.attempts()
	timer := time.AfterFunc(x.d.balance.Patience(x.req.Service), func() {
		lease.stalled()
		if elsewhere && x.allowRetry() {
			cancel(errStalled)
		}
	})
	return tryCtx, func() { timer.Stop() }, func() { cancel(context.Canceled) }
}
