package dispatch

import (
	"time"

	"github.com/pearshelf/pearshelf/internal/balance"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A request keeps the service and the kind of the route by which it arrived, and may outlast the
// configuration that declared them. What it may still do is decided here, for every send and every wait:
//
//   - The service is configured: the request goes on, to the servers that the newest view lists. This
//     holds also if its route has moved to another service or is gone.
//   - The service is gone: nothing more is sent, whether for the first time, as a retry, a copy, a trial or
//     the rest of a download, and no wait goes on. What servers are working on is still answered by them.
//   - Any configuration seen declares the request not idempotent: it is not sent again.
//
// Each wait ends with a call of refreshView. checkBeforeWrite decides once more before the first byte.

// removedRetryAfter is the Retry-After of a request whose service is gone. This host knows already where
// the request's route leads now.
const removedRetryAfter = 250 * time.Millisecond

func serviceRemoved(service string) *Refusal {
	return refuseNotRun(errs.New(errs.KindNoRoute, "service "+service+" is no longer configured", "repeat the request: its route may lead to another service; see config diff if it persists"), removedRetryAfter)
}

// refreshView adopts the newest view of the request's service. It returns a refusal if nothing more may be
// sent for the request.
func (x *exchange) refreshView() *Refusal {
	x.snap = x.d.snapshot()
	view, ok := x.snap.Services[x.req.Service]
	if !ok {
		return serviceRemoved(x.req.Service)
	}
	x.view = x.d.viewFor(x.req, view)
	if x.req.Idempotent && x.routes != x.snap.Routes {
		x.routes = x.snap.Routes
		match, routed := x.routes.Of(x.req.in)
		x.notIdempotent = x.notIdempotent || routed && !match.Idempotent
	}
	if (x.written || x.inFlight > 0) && !x.mayRepeat() {
		return refuseUnknown(errs.New(errs.KindServerShed, "a backend server may have run the request, and its route is not idempotent", "ask for the outcome before repeating it"))
	}
	return nil
}

// mayRepeat reports whether the request may be sent to a server although another one may have run it.
func (x *exchange) mayRepeat() bool { return x.req.Idempotent && !x.notIdempotent }

// returnUnused returns a lease to whose server the request is not sent.
func returnUnused(lease *balance.Lease) {
	if lease != nil {
		lease.Finish(policy.Result{Outcome: policy.Neutral, Unsent: true})
	}
}

// noServers returns a view of a service without any server.
func noServers(view *world.ServiceView) *world.ServiceView {
	return view.InDataCentres(func(string) bool { return false })
}
