package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// maxTries bounds the servers that may run one request, where its route does
// not say.
const maxTries = 3

// maxSends bounds the servers that one request is sent to, those included that
// refused it or could not be reached.
const maxSends = 6

// maxBroken bounds the connections that break before a byte is written, such
// as idle ones that a restarted server has closed.
const maxBroken = 8

// exchange is the work on one request on one host.
type exchange struct {
	d     *Dispatcher
	w     http.ResponseWriter
	req   *Request
	snap  *world.Snapshot
	view  *world.ServiceView
	state *serviceState
	start time.Time

	cancel context.CancelCauseFunc
	timer  *time.Timer
	tried  []string
	// written is whether a byte of the request may have reached a server that
	// did not say it did not run it.
	written bool
	// borrowed is set once a borrowed slot proved taken: never again.
	borrowed bool
	// free and paid say how the next try is allowed; see mayRetry.
	free, paid bool
	broken     int
	// status is of the answer that was passed on, 0 for none.
	status int
	trace  trace
	// ran counts the servers that may have run the request, arrived those that
	// it may have reached.
	ran     int
	arrived int
	// waiting counts the servers that have the request and have not answered yet.
	waiting int
	// onTrial is set for a request that may be sent to one server only, to see whether it
	// ends it.
	onTrial bool
}

// headerDeadline ends the context at the request's deadline. headerArrived
// lifts it where the deadline is for the header only.
func (x *exchange) headerDeadline(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	x.cancel = cancel
	x.timer = time.AfterFunc(time.Until(x.req.Deadline), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		x.timer.Stop()
		cancel(context.Canceled)
	}
}

func (x *exchange) headerArrived() {
	if !x.req.Explicit {
		x.timer.Stop()
	}
}

// serveOwned serves the request from this host's own slots.
func (x *exchange) serveOwned(ctx context.Context) error {
	if err := x.admit(); err != nil {
		return err
	}
	if refusal := x.quarantined(); refusal != nil {
		return refusal
	}
	claim, err := x.claim(ctx)
	if err != nil {
		return err
	}
	if claim != nil {
		defer func() { claim.Release(x.written) }()
	}
	x.state.budget.first()
	return x.tryServers(ctx)
}

// admit refuses at once what cannot be served.
func (x *exchange) admit() error {
	if x.d.balance == nil && x.state.pool.Full(x.view) {
		return notRun(errs.New(errs.KindQueueFull, "all slots of "+x.req.Service+" are busy and its queue is full", "repeat the request after the time in Retry-After"), x.retryAfter())
	}
	return nil
}

func (x *exchange) retryAfter() time.Duration {
	if x.d.balance != nil {
		return x.d.balance.RetryAfter(x.req.Service)
	}
	return x.state.pool.RetryAfter(x.view, time.Duration(x.view.Config.QueueWait))
}

// claim secures the idempotency key of a non-idempotent request.
func (x *exchange) claim(ctx context.Context) (*claims.Claim, error) {
	if x.req.Idempotent || x.req.Key == "" {
		return nil, nil
	}
	key := claims.Key{Service: x.req.Service, Key: x.req.Key}
	claim, err := x.d.claims.Claim(ctx, x.claimants(), key, x.req.ID, time.Until(x.req.Deadline))
	if err == nil {
		return claim, nil
	}
	typed := asTyped(err)
	if typed.Kind == errs.KindClaimHeld {
		x.d.events.Record(event.RequestDuplicate, x.req.Service, "", x.req.ID)
		return nil, unknown(typed)
	}
	return nil, notRun(typed, 0)
}

// tryServers sends the request to one server after another until one answers.
func (x *exchange) tryServers(ctx context.Context) error {
	var last *Refusal
	for x.ran < x.req.attempts() && len(x.tried) < maxSends && x.broken < maxBroken && !x.timeOver(ctx) {
		lease, err := x.acquire(ctx)
		if err != nil {
			return x.final(last, err)
		}
		done, refusal := x.try(ctx, lease)
		if done {
			return nil
		}
		last = refusal
		if x.written && !x.req.Idempotent {
			return last
		}
		if x.quarantined() != nil || !x.mayRetry() {
			return last
		}
	}
	return x.final(last, errs.New(errs.KindDeadline, "the time was over before the request was sent", "allow more time"))
}

// timeOver reports whether the request has ended or its deadline has passed. The timer that
// ends it may be late on a busy host.
func (x *exchange) timeOver(ctx context.Context) bool {
	return ctx.Err() != nil || world.Passed(time.Now(), x.req.Deadline)
}

// final chooses between the last try's refusal and having no server left.
func (x *exchange) final(last *Refusal, err error) error {
	noneLeft := errs.KindOf(err) == errs.KindNoBackend || last != nil && last.Err.Kind == errs.KindNoRoom
	if noneLeft && (last == nil || last.Outcome == OutcomeNotRun) {
		if refusal := x.noneAvailable(); refusal != nil {
			return refusal
		}
	}
	if last != nil {
		return last
	}
	return notRun(asTyped(err), x.retryAfter())
}

// acquire takes a slot of a server that is still in rotation by the newest
// view: the request may have waited while a server was drained.
func (x *exchange) acquire(ctx context.Context) (*place, error) {
	for {
		x.refresh()
		lease, err := x.place(ctx)
		if err != nil || x.inRotation(lease.Server) {
			return lease, err
		}
		lease.Release()
	}
}

func (x *exchange) refresh() {
	x.snap = x.d.snapshot()
	if view, ok := x.snap.Services[x.req.Service]; ok {
		x.view = x.d.viewFor(x.req, view)
	}
}

func (x *exchange) inRotation(server world.BackendView) bool {
	view, ok := x.d.snapshot().Services[x.req.Service]
	if !ok {
		return false
	}
	b := view.Backend(server.ID)
	return b != nil && (x.req.Idempotent || !b.IdempotentOnly)
}

// mayRetry reports whether another try is allowed. Tries that put no load on
// any server are free; others come out of the budget, once each.
func (x *exchange) mayRetry() bool {
	if x.free || x.paid {
		x.free = false
		return true
	}
	x.paid = x.allowRetry()
	x.d.metrics.Retry(x.req.Service, x.paid)
	return x.paid
}

// allowRetry asks for a retry: where hosts pick directly, of what the hosts of
// this data centre share, else of this host's own budget.
func (x *exchange) allowRetry() bool {
	if x.d.balance == nil {
		return x.state.budget.retry()
	}
	return x.d.balance.AllowRetry(x.req.Service, x.fleet())
}

// fleet is how many hosts share the retry allowance.
func (x *exchange) fleet() policy.Fleet {
	return policy.Fleet{Near: x.snap.Sharing.SegmentSize(), All: x.snap.FleetSize}
}

// try sends the request to one server. done is whether the caller has been
// answered; otherwise refusal says what this try came to.
func (x *exchange) try(ctx context.Context, lease *place) (done bool, refusal *Refusal) {
	x.free = false
	x.paid = false
	if x.mayCopy(lease) {
		return x.race(ctx, lease)
	}
	defer lease.Release()
	x.begin(lease, x.purpose())
	return x.judge(ctx, lease, x.fetch(ctx, x.toServer(lease)))
}

func notRunOrUnknown(written bool, err *errs.Error) *Refusal {
	if written {
		return unknown(err)
	}
	return notRun(err, 0)
}
