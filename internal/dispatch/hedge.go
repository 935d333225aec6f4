package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/policy"
)

// pendingSend is one send of a request that may be in flight at two servers.
type pendingSend struct {
	lease  *serverLease
	cancel context.CancelFunc
	// detach stops the end of the request from cancelling the send.
	detach func() bool
	result chan sendResult
}

// hedge is a request that may be in flight at more than one server. The first complete
// response wins; the other sends are cancelled at once.
type hedge struct {
	x       *exchange
	pending []*pendingSend
	results chan *pendingSend
}

// mayHedge reports whether the request may be sent to a second server while the first is still
// processing it.
func (x *exchange) mayHedge(lease *serverLease) bool {
	return lease.balanced != nil && !x.quarantineTrial && x.mayRepeat() && x.req.body.buffered && x.attemptsRun+2 <= x.req.maxAttempts()
}

// hedge sends the request to a server, and to a second one when the policy says so.
func (x *exchange) hedge(ctx context.Context, first *serverLease) (done bool, refusal *Refusal) {
	h := &hedge{x: x, results: make(chan *pendingSend, 2)}
	defer h.cancelPending()
	h.start(ctx, first, x.purpose())
	h.sendTrial(ctx, first)
	review := time.NewTimer(h.reviewCopy(ctx, first))
	defer review.Stop()
	pathLost := x.d.balance.PathLostSignal()
	for {
		select {
		case p := <-h.results:
			done, refusal = h.complete(ctx, p)
			if done || x.inFlight == 0 {
				return done, refusal
			}
		case <-review.C:
			if x.inFlight == 1 && h.pending[0].lease == first && x.attemptsRun+2 <= x.req.maxAttempts() {
				review.Reset(h.reviewCopy(ctx, first))
			}
		case <-pathLost:
			pathLost = nil
			if x.shouldRelay() && x.attemptsRun+x.inFlight < x.req.maxAttempts() {
				h.cancelPending()
				return false, refuseUnknown(errs.New(errs.KindPathLost, "this host lost its path to the backend server that had the request", "repeat the request"))
			}
		}
	}
}

// noFurtherReview is longer than any request takes.
const noFurtherReview = time.Hour

// reviewCopy asks the policy whether to send a copy of the request now. It returns the delay
// until the next review.
func (h *hedge) reviewCopy(ctx context.Context, first *serverLease) time.Duration {
	x := h.x
	if x.refreshView() != nil {
		return noFurtherReview
	}
	request := x.copyPolicyRequest(first)
	copyNow, after := x.d.balance.ReviewCopy(x.view, request, first.balanced)
	switch {
	case copyNow:
		h.sendCopy(ctx, request)
		return noFurtherReview
	case after <= 0:
		return noFurtherReview
	default:
		return after
	}
}

// copyPolicyRequest returns the policy request for a send to another server while the first one
// still has the request.
func (x *exchange) copyPolicyRequest(first *serverLease) policy.Request {
	request := x.policyRequest()
	request.Parallel = true
	request.FirstServerBelief = first.belief
	request.Exclude = slices.Concat(request.Exclude, []string{first.Server.ID})
	return request
}

// sendCopy sends the request to a second server.
func (h *hedge) sendCopy(ctx context.Context, request policy.Request) {
	lease, err := h.x.d.balance.Pick(h.x.view, request)
	if err != nil {
		return // all other servers are full: only the first send continues
	}
	h.x.d.metrics.Retry(h.x.req.Service, true)
	h.start(ctx, balancedLease(lease), purposeCopy)
}

func (h *hedge) start(ctx context.Context, lease *serverLease, why purpose) {
	x := h.x
	x.beginAttempt(lease, why)
	sendCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	p := &pendingSend{lease: lease, cancel: func() { cancel(context.Canceled) }, result: make(chan sendResult, 1)}
	p.detach = context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	h.pending = append(h.pending, p)
	x.inFlight++
	to := x.toServer(lease)
	go func() {
		p.result <- x.roundTripRecovered(sendCtx, to)
		h.results <- p
	}()
}

// complete evaluates the result of a send. A good response cancels the other send before it is
// passed to the caller.
func (h *hedge) complete(ctx context.Context, p *pendingSend) (done bool, refusal *Refusal) {
	result := <-p.result
	h.remove(p)
	h.x.inFlight--
	if result.isGood() {
		h.cancelPending()
	}
	defer p.cancel()
	defer p.detach() // only now: the deadline and the caller's disconnect must still end a body that is streamed
	defer p.lease.Release()
	return h.x.handleResult(ctx, p.lease, result)
}

func (h *hedge) remove(p *pendingSend) {
	for i, other := range h.pending {
		if other == p {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}

// cancelPending cancels all sends in flight. A trial may continue; see detachTrial.
func (h *hedge) cancelPending() {
	for _, p := range h.pending {
		h.x.inFlight--
		h.x.attemptsRun++
		h.x.attemptsArrived++
		h.x.written = true
		p.lease.attempt.finish("abandoned")
		if h.x.detachTrial(p) {
			continue
		}
		p.cancel()
		h.x.markAbandoned(p.lease)
		p.lease.Release()
		go func() { (<-p.result).discard() }()
	}
	h.pending = nil
}

// markAbandoned records that the request was cancelled before the server responded.
func (x *exchange) markAbandoned(lease *serverLease) {
	lease.done.Outcome = policy.Abandoned
	lease.done.Elapsed = lease.attempt.duration
}
