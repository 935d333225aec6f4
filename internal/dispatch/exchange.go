package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/route"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/internal/world"
)

// defaultMaxAttempts bounds the servers that may run one request if its route sets no limit.
const defaultMaxAttempts = 3

// maxSends bounds the servers that one request is sent to, including those that refused it or
// were unreachable.
const maxSends = 6

// maxUnsentFailures bounds the connections that break before a byte is written, such as idle
// connections closed by a restarted server.
const maxUnsentFailures = 8

// exchange is the state of one request on one host.
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
	// written is set if a byte of the request may have reached a server that did not report it
	// as not run.
	written bool
	// borrowRefused is set after a borrowed slot turned out to be in use: the request borrows
	// no other.
	borrowRefused bool
	// freeRetry and retryCharged say how the next attempt is accounted for; see mayRetry.
	freeRetry, retryCharged bool
	unsentFailures          int
	// unreachable counts the servers that this host could not connect to. relayed is set once the
	// request has been offered to other hosts, claimed while this host holds its idempotency key.
	unreachable      int
	relayed, claimed bool
	// counted is set once the request has been counted for the retry allowance, here or by the host
	// that relayed it.
	counted bool
	// routes are the routes by which notIdempotent was last decided; see refreshView.
	routes        *route.Table
	notIdempotent bool
	// status is the status code of the response that was passed on, 0 for none.
	status int
	trace  trace
	// attemptsRun counts the servers that may have run the request, attemptsArrived those that
	// it may have reached.
	attemptsRun     int
	attemptsArrived int
	// answeredOn are the connections on which servers have responded to the request. It is not sent on
	// them again: a response may be repeated there, and its ID does not tell one send from another.
	answeredOn []upstream.Connection
	// inFlight counts the servers that have the request and have not responded yet.
	inFlight int
	// quarantineTrial is set for a suspected request that may be sent to one server only, to
	// see whether it crashes that server.
	quarantineTrial bool
}

// headerDeadline returns a context that is cancelled at the request's deadline, when reads of its body
// end too. headerArrived stops the timer if the deadline applies to the response header only.
func (x *exchange) headerDeadline(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	x.cancel = cancel
	x.timer = time.AfterFunc(time.Until(x.req.Deadline), func() {
		cancel(context.DeadlineExceeded)
		x.req.interruptBody()
	})
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

// serveOwned serves the request using this host's own slots or balancer.
func (x *exchange) serveOwned(ctx context.Context) error {
	if err := x.admit(); err != nil {
		return err
	}
	if refusal := x.checkQuarantine(); refusal != nil {
		return refusal
	}
	claim, err := x.claim(ctx)
	if err != nil {
		return err
	}
	if claim != nil {
		x.claimed = true
		defer func() { claim.Release(x.written) }()
	}
	x.state.budget.deposit()
	return x.tryServers(ctx)
}

// admit refuses a request at once if all slots are in use and the queue is full.
func (x *exchange) admit() error {
	if x.d.balance == nil && x.state.pool.Full(x.view) {
		return refuseNotRun(errs.New(errs.KindQueueFull, "all slots of "+x.req.Service+" are busy and its queue is full", "repeat the request after the time in Retry-After"), x.retryAfter())
	}
	return nil
}

func (x *exchange) retryAfter() time.Duration {
	if x.d.balance != nil {
		return x.d.balance.RetryAfter(x.req.Service)
	}
	return x.state.pool.RetryAfter(x.view, time.Duration(x.view.Config.QueueWait))
}

// claim claims the idempotency key of a non-idempotent request.
func (x *exchange) claim(ctx context.Context) (*claims.Claim, error) {
	if x.req.Idempotent || x.req.Key == "" || x.req.Claimed {
		return nil, nil
	}
	key := claims.Key{Service: x.req.Service, Key: x.req.Key}
	claim, err := x.d.claims.Claim(ctx, x.claimCandidates(), key, x.req.ID, time.Until(x.req.Deadline))
	if err == nil {
		return claim, nil
	}
	typed := toTypedError(err)
	if typed.Kind == errs.KindDuplicateRequest {
		x.d.events.Record(event.RequestDuplicate, x.req.Service, "", x.req.ID)
		return nil, refuseUnknown(typed)
	}
	return nil, refuseNotRun(typed, 0)
}

// tryServers sends the request to one server after another until one responds.
func (x *exchange) tryServers(ctx context.Context) error {
	if x.req.Arrived > 0 && !x.mayRetry(ctx) {
		return refuseUnknown(errs.New(errs.KindServerShed, "a backend server may have run the request, and the retry allowance is spent", "repeat the request if it is idempotent"))
	}
	var last *Refusal
	for x.attemptsRun < x.req.maxAttempts() && len(x.tried) < maxSends && x.unsentFailures < maxUnsentFailures && !x.isExpired(ctx) {
		if gone := x.refreshView(); gone != nil {
			return x.finalRefusal(last, gone)
		}
		if x.shouldRelay() {
			if done, err := x.relay(ctx); done {
				return err
			}
		}
		if x.isCutOff() {
			return x.refusePathLost()
		}
		if refusal := x.awaitFresh(ctx); refusal != nil {
			return x.finalRefusal(last, refusal)
		}
		lease, err := x.acquire(ctx)
		if errs.KindOf(err) == errs.KindPathLost {
			continue // it may be relayed
		}
		if err != nil {
			return x.finalRefusal(last, err)
		}
		done, refusal := x.attempt(ctx, lease)
		if done {
			return nil
		}
		last = refusal
		if x.written && !x.mayRepeat() {
			return last
		}
		if x.checkQuarantine() != nil || !x.mayRetry(ctx) {
			return last
		}
	}
	return x.finalRefusal(last, errs.New(errs.KindDeadline, "the deadline passed before the request was sent", "allow more time"))
}

// isCutOff reports whether only another host could send the request. A host that knows of no other
// which takes relayed requests tries by itself all the same.
func (x *exchange) isCutOff() bool {
	if x.req.ForwardedBy != "" {
		return x.pathLost() || x.unreachable >= maxUnreachable
	}
	return x.d.balance != nil && x.pathLost() && x.snap.HostsRelay
}

// isExpired reports whether the request has ended or its deadline has passed. It checks the
// clock as well because the timer that ends the request may fire late on a busy host.
func (x *exchange) isExpired(ctx context.Context) bool {
	return ctx.Err() != nil || world.HasPassed(time.Now(), x.req.Deadline)
}

// finalRefusal chooses between the refusal of the last attempt and one that says that no
// server is left.
func (x *exchange) finalRefusal(last *Refusal, err error) error {
	noneLeft := errs.KindOf(err) == errs.KindNoBackendServer || last != nil && last.Err.Kind == errs.KindServerRateLimit
	if noneLeft && (last == nil || last.Outcome == OutcomeNotRun) {
		if refusal := x.refuseIfNoneAvailable(); refusal != nil {
			return refusal
		}
	}
	if last != nil {
		return last
	}
	if refusal, ok := err.(*Refusal); ok {
		return refusal
	}
	return refuseNotRun(toTypedError(err), x.retryAfter())
}

// acquire takes a slot at a server that is in rotation according to the newest view. Servers
// may have been drained while the request was queued.
func (x *exchange) acquire(ctx context.Context) (*serverLease, error) {
	for {
		if gone := x.refreshView(); gone != nil {
			return nil, gone
		}
		lease, err := x.pickServer(ctx)
		if err != nil || x.inRotation(lease.Server) {
			return lease, err
		}
		lease.done.Unsent = true
		lease.Release()
		if x.isExpired(ctx) {
			return nil, errs.New(errs.KindDeadline, "the deadline passed before the request was sent", "allow more time")
		}
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

// mayRetry reports whether another attempt is allowed. Attempts that put no load on any server
// are free; the others are charged to the budget, once each.
func (x *exchange) mayRetry(ctx context.Context) bool {
	if x.freeRetry || x.retryCharged {
		x.freeRetry = false
		return true
	}
	x.retryCharged = x.allowRetry(ctx)
	x.d.metrics.Retry(x.req.Service, x.retryCharged)
	return x.retryCharged
}

// allowRetry asks for a retry: from this host's part of the fleet's allowance if hosts pick servers
// themselves, else from the budget of an owner host. It waits for one from another host where that
// may come in time.
func (x *exchange) allowRetry(ctx context.Context) bool {
	if x.d.balance == nil {
		return x.state.budget.withdraw()
	}
	decision := x.d.balance.AllowRetry(x.retryRequest(), false)
	waited := time.Duration(0)
	if !decision.Allowed && decision.Wait > 0 {
		begin := time.Now()
		decision = x.awaitRetry(ctx, decision)
		waited = time.Since(begin)
		x.d.metrics.RetryWait(x.req.Service, waited, decision.Allowed)
	}
	if !decision.Allowed {
		x.trace.retryWithheld = fmt.Sprintf("%.3g of %.1f spent, up for %s", decision.Used, decision.Allowance, decision.Age.Round(time.Second))
		if decision.Kept > 0 {
			x.trace.retryWithheld += fmt.Sprintf(", %.0f left to requests that earn more", decision.Kept)
		}
		if waited > 0 {
			x.trace.retryWithheld += fmt.Sprintf(", waited %s for another host's", waited.Round(time.Millisecond))
		}
	}
	return decision.Allowed
}

// retryRequest describes the request for the retry allowance.
func (x *exchange) retryRequest() policy.Request {
	return policy.Request{
		Service: x.req.Service, Group: x.req.Group, Priority: x.req.Priority, FleetSize: x.snap.FleetSize,
		Objective: x.req.Objective, ReceivedAt: x.start, Deadline: x.req.Deadline,
	}
}

// awaitRetry waits until another host gives a retry, up to decision.Wait and the request's deadline.
func (x *exchange) awaitRetry(ctx context.Context, decision policy.RetryDecision) policy.RetryDecision {
	end := time.NewTimer(min(decision.Wait, time.Until(x.req.Deadline)))
	defer end.Stop()
	again := time.NewTicker(policy.RetryAskPeriod)
	defer again.Stop()
	for {
		given := x.d.balance.RetryGiven()
		if decision = x.d.balance.AllowRetry(x.retryRequest(), true); decision.Allowed || decision.Wait == 0 {
			return decision
		}
		select {
		case <-given:
		case <-again.C:
		case <-end.C:
			return decision
		case <-ctx.Done():
			return decision
		}
	}
}

// attempt sends the request to one server. done reports whether the caller has been answered;
// otherwise refusal describes the outcome of this attempt.
func (x *exchange) attempt(ctx context.Context, lease *serverLease) (done bool, refusal *Refusal) {
	x.freeRetry = false
	x.retryCharged = false
	if x.mayHedge(lease) {
		return x.hedge(ctx, lease)
	}
	defer lease.Release()
	x.beginAttempt(lease, x.purpose())
	return x.handleResult(ctx, lease, x.roundTrip(ctx, x.toServer(lease)))
}

func refuse(written bool, err *errs.Error) *Refusal {
	if written {
		return refuseUnknown(err)
	}
	return refuseNotRun(err, 0)
}
